package loadbalancer.proxy.configuration;

/** A configuration that no sidecar can start with; the message is one line and names the field. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigurationException(String message) {
        super(oneLine(message));
    }

    private static String oneLine(String text) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            boolean space = Character.isWhitespace(text.charAt(i));
            if (!space) {
                line.append(text.charAt(i));
            } else if (line.isEmpty() || line.charAt(line.length() - 1) != ' ') {
                line.append(' ');
            }
        }
        return line.toString();
    }
}
