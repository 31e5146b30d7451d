package loadbalancer.proxy.protocol;

/**
 * Validates and parses header values and request targets. The methods examine one character at a time because they run
 * for every request. In the first seconds of the process, equivalent regular expressions would be many times slower.
 * Stateless.
 */
public final class HeaderValues {
    private static final int MAX_TOKEN_LENGTH = 128;
    private static final int MAX_TARGET_LENGTH = 4096;
    private static final int MAX_DECIMAL_DIGITS = 9;
    private static final int MAX_HEX_DIGITS = 16;

    private HeaderValues() {}

    /** Returns whether {@code text} consists of 1 to 128 visible ASCII characters. */
    public static boolean isToken(String text) {
        return !text.isEmpty() && text.length() <= MAX_TOKEN_LENGTH && isVisibleAscii(text);
    }

    /** Returns whether {@code text} begins with a slash and consists of at most 4,096 visible ASCII characters. */
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

    /** Returns the whole number that {@code text} contains, or -1 if {@code text} is not 1 to 9 decimal digits. */
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

    /**
     * Returns the value of {@code text} as an unsigned hexadecimal number, or the hash code of {@code text} if it is
     * not 1 to 16 hexadecimal digits.
     */
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

    /** Returns the path of a request target, which is the text before the first question mark. */
    public static String path(String target) {
        int questionMarkIndex = target.indexOf('?');
        return questionMarkIndex < 0 ? target : target.substring(0, questionMarkIndex);
    }

    /**
     * Formats a duration as seconds with three decimals, rounded to the nearest millisecond. This is the form of
     * {@code Retry-After} in this protocol.
     */
    public static String formatSeconds(long micros) {
        long millis = (micros + 500) / 1000;
        String decimals = Long.toString(1000 + millis % 1000).substring(1);
        return millis / 1000 + "." + decimals;
    }
}
