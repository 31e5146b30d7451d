import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Runs one case. Arguments: the name of its class, the root of the project, the folder of the case. Exits with 1 if the
 * rule was broken, 0 if it held, 2 if the case couldn't run.
 */
abstract class Case {
    Record record;
    Path root;
    Path temporary;
    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Plays the case and returns what broke the rule; an empty list if nothing did. */
    abstract List<String> play() throws Exception;

    public static void main(String[] arguments) throws Exception {
        Threads.start("time limit", () -> {
            try {
                Thread.sleep(110_000);
            } catch (InterruptedException e) {
                return;
            }
            System.out.println("the case took over 110 s");
            System.exit(2);
        });
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) throws Exception {
        Case played = (Case) Class.forName(arguments[0]).getDeclaredConstructor().newInstance();
        played.root = Path.of(arguments[1]);
        played.temporary = Files.createTempDirectory("review-case-");
        // Also if the case is ended from outside.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> delete(played.temporary)));
        try (Record record = new Record(Path.of(arguments[2], "record.txt"))) {
            played.record = record;
            record.line("case " + arguments[0] + " trouble=" + played.trouble);
            int result;
            try {
                List<String> broken = played.play();
                broken.forEach(line -> record.line("BROKEN " + line));
                broken.forEach(System.out::println);
                result = broken.isEmpty() ? 0 : 1;
            } catch (Exception e) {
                record.line("could not run: " + e);
                System.out.println("could not run: " + e);
                result = 2;
            }
            record.line("result " + result);
            System.out.println("result " + result);
            return result;
        }
    }

    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.out.println("could not delete " + folder + ": " + e);
        }
    }
}
