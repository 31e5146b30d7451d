package loadbalancer.proxy.protocol;

/**
 * Checks and reads single header values and request targets, character by character: each is read with every request,
 * also in the first seconds of a process, when a regular expression of the same meaning takes many times as long.
 */
public final class HeaderValues {
    private static final int MOST_WORD = 128;
    private static final int MOST_TARGET = 4096;
    private static final int MOST_DIGITS = 9;
    private static final int MOST_HEX_DIGITS = 16;

    private HeaderValues() {}

    /** One to 128 visible ASCII characters. */
    public static boolean isToken(String text) {
        return !text.isEmpty() && text.length() <= MOST_WORD && visible(text);
    }

    /** A path that begins with a slash, of visible ASCII characters, 4,096 at most. */
    public static boolean isRequestTarget(String text) {
        return text.startsWith("/") && text.length() <= MOST_TARGET && visible(text);
    }

    private static boolean visible(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < '!' || c > '~') {
                return false;
            }
        }
        return true;
    }

    /** A whole number of one to nine digits; -1 where there is none. */
    public static long parseWholeNumber(String text) {
        if (text.isEmpty() || text.length() > MOST_DIGITS) {
            return -1;
        }
        long sum = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return -1;
            }
            sum = sum * 10 + (c - '0');
        }
        return sum;
    }

    /** One to sixteen hexadecimal digits as their number, any other text as its hash. */
    public static long parseHexOrHash(String text) {
        if (text.isEmpty() || text.length() > MOST_HEX_DIGITS) {
            return text.hashCode();
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c > 'f' || Character.digit(c, 16) < 0) {
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
    public static String formatSeconds(long us) {
        long ms = (us + 500) / 1000;
        String decimals = Long.toString(1000 + ms % 1000).substring(1);
        return ms / 1000 + "." + decimals;
    }
}
