package loadbalancer.proxy.protocol;

/**
 * Checks and reads single header values and request targets, character by character: this is done for every request,
 * also in the first seconds of a process, when a regular expression of the same meaning takes many times as long.
 * Stateless.
 */
public final class HeaderValues {
    private static final int MAX_TOKEN_LENGTH = 128;
    private static final int MAX_TARGET_LENGTH = 4096;
    private static final int MAX_DECIMAL_DIGITS = 9;
    private static final int MAX_HEX_DIGITS = 16;

    private HeaderValues() {}

    /** One to 128 visible ASCII characters. */
    public static boolean isToken(String text) {
        return !text.isEmpty() && text.length() <= MAX_TOKEN_LENGTH && isVisibleAscii(text);
    }

    /** A path that begins with a slash, of visible ASCII characters, 4,096 at most. */
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

    /** A whole number of one to nine digits; -1 where there is none. */
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

    /** One to sixteen hexadecimal digits as their number, any other text as its hash. */
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

    /** A request's path: its target up to the question mark. */
    public static String path(String target) {
        int question = target.indexOf('?');
        return question < 0 ? target : target.substring(0, question);
    }

    /** Seconds with three decimals, as {@code Retry-After} is written here. */
    public static String formatSeconds(long micros) {
        long millis = (micros + 500) / 1000;
        String decimals = Long.toString(1000 + millis % 1000).substring(1);
        return millis / 1000 + "." + decimals;
    }
}
