package loadbalancer.proxy.observability;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.FormattingTuple;
import io.netty.util.internal.logging.MessageFormatter;

/**
 * A Netty logger that writes warnings and errors to {@link SidecarLog} and discards all other levels. It has to
 * override every method of Netty's interface, because there is no method that all levels share. Thread-safe.
 */
final class NettyLogger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1L;

    private static final String WARNING = "netty_warning";
    private static final String ERROR = "netty_error";

    NettyLogger(String name) {
        super(name);
    }

    private void write(String event, String message, Throwable cause) {
        String line = event + " logger=" + name() + " message=" + SidecarLog.quote(message);
        if (cause == null) {
            SidecarLog.info(line);
        } else {
            SidecarLog.error(line, cause);
        }
    }

    private void write(String event, FormattingTuple formatted) {
        write(event, formatted.getMessage(), formatted.getThrowable());
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public void trace(String message) {}

    @Override
    public void trace(String format, Object argument) {}

    @Override
    public void trace(String format, Object first, Object second) {}

    @Override
    public void trace(String format, Object... arguments) {}

    @Override
    public void trace(String message, Throwable cause) {}

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public void debug(String message) {}

    @Override
    public void debug(String format, Object argument) {}

    @Override
    public void debug(String format, Object first, Object second) {}

    @Override
    public void debug(String format, Object... arguments) {}

    @Override
    public void debug(String message, Throwable cause) {}

    @Override
    public boolean isInfoEnabled() {
        return false;
    }

    @Override
    public void info(String message) {}

    @Override
    public void info(String format, Object argument) {}

    @Override
    public void info(String format, Object first, Object second) {}

    @Override
    public void info(String format, Object... arguments) {}

    @Override
    public void info(String message, Throwable cause) {}

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public void warn(String message) {
        write(WARNING, message, null);
    }

    @Override
    public void warn(String format, Object argument) {
        write(WARNING, MessageFormatter.format(format, argument));
    }

    @Override
    public void warn(String format, Object first, Object second) {
        write(WARNING, MessageFormatter.format(format, first, second));
    }

    @Override
    public void warn(String format, Object... arguments) {
        write(WARNING, MessageFormatter.arrayFormat(format, arguments));
    }

    @Override
    public void warn(String message, Throwable cause) {
        write(WARNING, message, cause);
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    public void error(String message) {
        write(ERROR, message, null);
    }

    @Override
    public void error(String format, Object argument) {
        write(ERROR, MessageFormatter.format(format, argument));
    }

    @Override
    public void error(String format, Object first, Object second) {
        write(ERROR, MessageFormatter.format(format, first, second));
    }

    @Override
    public void error(String format, Object... arguments) {
        write(ERROR, MessageFormatter.arrayFormat(format, arguments));
    }

    @Override
    public void error(String message, Throwable cause) {
        write(ERROR, message, cause);
    }
}
