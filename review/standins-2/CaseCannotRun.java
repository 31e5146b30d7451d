/** Thrown if a case can't run, which is no result. */
final class CaseCannotRun extends Exception {
    private static final long serialVersionUID = 1L;

    CaseCannotRun(String message) {
        super(message);
    }
}
