package loadbalancer.proxy.configuration;

/**
 * Thrown if a sidecar can't start with a configuration or can't reload it. The message is a single line and names the
 * field or environment variable that an operator has to correct.
 */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigurationException(String message) {
        super(collapseWhiteSpace(message));
    }

    /**
     * Replaces each run of white space by one space. Avoids a regular expression, because it would load many classes.
     */
    private static String collapseWhiteSpace(String text) {
        StringBuilder collapsed = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (!Character.isWhitespace(character)) {
                collapsed.append(character);
            } else if (collapsed.isEmpty() || collapsed.charAt(collapsed.length() - 1) != ' ') {
                collapsed.append(' ');
            }
        }
        return collapsed.toString();
    }
}
