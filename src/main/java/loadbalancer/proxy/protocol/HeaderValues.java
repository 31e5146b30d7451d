package loadbalancer.proxy.protocol;

/**
 * Checks and reads header values and request targets. Works character by character because it runs for every request,
 * also in the first seconds of the process, when an equivalent regular expression would be many times slower.
 * Stateless.
 */
public final class HeaderValues {
    private static final int MAX_TOKEN_LENGTH = 128;
    private static final int MAX_TARGET_LENGTH = 4096;
    private static final int MAX_DECIMAL_DIGITS = 9;
    private static final int MAX_HEX_DIGITS = 16;

    private HeaderValues() {}

    /** Whether {@code text} consists of one to 128 visible ASCII characters. */
    public static boolean isToken(String text) {
        return !text.isEmpty() && text.length() <= MAX_TOKEN_LENGTH && isVisibleAscii(text);
    }

    /** Whether {@code text} begins with a slash and consists of at most 4,096 visible ASCII characters. */
    public static boolean isRequestTarget(String text) {
        return text.startsWith("/") && text.length() <= MAX_TARGET_LENGTH && isVisibleAscii(text);
    }

    private static boolean isVisibleAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character < '!' || character > '~') {
                return false;
            }
        }
        return true;
    }

    /** Reads a whole number of one to nine digits. Returns -1 if {@code text} is anything else. */
    public static long parseWholeNumber(String text) {
        if (text.isEmpty() || text.length() > MAX_DECIMAL_DIGITS) {
            return -1;
        }
        long value = 0;
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character < '0' || character > '9') {
                return -1;
            }
            value = value * 10 + (character - '0');
        }
        return value;
    }

    /** Returns the number that one to sixteen hexadecimal digits stand for, or the hash code of any other text. */
    public static long parseHexOrHash(String text) {
        if (text.isEmpty() || text.length() > MAX_HEX_DIGITS) {
            return text.hashCode();
        }
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character > 'f' || Character.digit(character, 16) < 0) {
                return text.hashCode();
            }
        }
        return Long.parseUnsignedLong(text, 16);
    }

    /** Returns the path of a request target: everything before the question mark. */
    public static String path(String target) {
        int question = target.indexOf('?');
        return question < 0 ? target : target.substring(0, question);
    }

    /** Formats a time as seconds with three decimals, which is the form of {@code Retry-After} in this protocol. */
    public static String formatSeconds(long micros) {
        long millis = (micros + 500) / 1000;
        String decimals = Long.toString(1000 + millis % 1000).substring(1);
        return millis / 1000 + "." + decimals;
    }
}
