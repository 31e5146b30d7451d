/** Starts daemon threads. */
final class Threads {
    private Threads() {}

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
