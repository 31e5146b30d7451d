package loadbalancer.proxy.configuration;

/**
 * A configuration that a sidecar can't start or go on with. The message is one line and names the field or variable
 * that an operator has to correct.
 */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigurationException(String message) {
        super(joinLines(message));
    }

    /**
     * Replaces each run of white space by one space. A loop instead of a regular expression, whose classes are many.
     */
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
