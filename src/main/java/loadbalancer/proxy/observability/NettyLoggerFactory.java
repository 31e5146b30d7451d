package loadbalancer.proxy.observability;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.FormattingTuple;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.MessageFormatter;

/**
 * Netty's warnings and errors as lines of this program's log, and nothing below them. Without it Netty looks for three
 * logging libraries that are not there, class by class in the archive, and then starts the JDK's own.
 */
public final class NettyLoggerFactory extends InternalLoggerFactory {
    /** Before Netty's first class is used. */
    public static void install() {
        InternalLoggerFactory.setDefaultFactory(new NettyLoggerFactory());
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new Warnings(name);
    }

    private static final class Warnings extends AbstractInternalLogger {
        private static final long serialVersionUID = 1L;

        Warnings(String name) {
            super(name);
        }

        private void line(String text, Throwable cause) {
            if (cause == null) {
                SidecarLog.info(name() + ": " + text);
            } else {
                SidecarLog.error(name() + ": " + text, cause);
            }
        }

        private void line(FormattingTuple message) {
            line(message.getMessage(), message.getThrowable());
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public void trace(String text) {}

        @Override
        public void trace(String format, Object argument) {}

        @Override
        public void trace(String format, Object first, Object second) {}

        @Override
        public void trace(String format, Object... arguments) {}

        @Override
        public void trace(String text, Throwable cause) {}

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public void debug(String text) {}

        @Override
        public void debug(String format, Object argument) {}

        @Override
        public void debug(String format, Object first, Object second) {}

        @Override
        public void debug(String format, Object... arguments) {}

        @Override
        public void debug(String text, Throwable cause) {}

        @Override
        public boolean isInfoEnabled() {
            return false;
        }

        @Override
        public void info(String text) {}

        @Override
        public void info(String format, Object argument) {}

        @Override
        public void info(String format, Object first, Object second) {}

        @Override
        public void info(String format, Object... arguments) {}

        @Override
        public void info(String text, Throwable cause) {}

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public void warn(String text) {
            line(text, null);
        }

        @Override
        public void warn(String format, Object argument) {
            line(MessageFormatter.format(format, argument));
        }

        @Override
        public void warn(String format, Object first, Object second) {
            line(MessageFormatter.format(format, first, second));
        }

        @Override
        public void warn(String format, Object... arguments) {
            line(MessageFormatter.arrayFormat(format, arguments));
        }

        @Override
        public void warn(String text, Throwable cause) {
            line(text, cause);
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }

        @Override
        public void error(String text) {
            line(text, null);
        }

        @Override
        public void error(String format, Object argument) {
            line(MessageFormatter.format(format, argument));
        }

        @Override
        public void error(String format, Object first, Object second) {
            line(MessageFormatter.format(format, first, second));
        }

        @Override
        public void error(String format, Object... arguments) {
            line(MessageFormatter.arrayFormat(format, arguments));
        }

        @Override
        public void error(String text, Throwable cause) {
            line(text, cause);
        }
    }
}
