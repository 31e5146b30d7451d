package loadbalancer.proxy.configuration;

/**
 * Thrown if a sidecar can't start with a configuration or can't switch to it. The message is a single line and names
 * the field or variable that an operator has to correct.
 */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigurationException(String message) {
        super(joinLines(message));
    }

    /** Replaces each run of white space by one space. Not a regular expression, to avoid loading its many classes. */
    private static String joinLines(String text) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (!Character.isWhitespace(character)) {
                line.append(character);
            } else if (line.isEmpty() || line.charAt(line.length() - 1) != ' ') {
                line.append(' ');
            }
        }
        return line.toString();
    }
}
