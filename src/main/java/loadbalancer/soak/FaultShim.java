package loadbalancer.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.Optional;

/**
 * A library that is loaded into a sidecar process. It steps the wall clock of that process and lets system calls on
 * sockets fail in ways that Linux documents. It is compiled when the soak starts, where there is a C compiler.
 */
final class FaultShim {
    private static final String SOURCE = "fault-shim.c";
    private static final int CONTROL_BYTES = 16;
    private static final int FAILURE_OFFSET = 8;

    private final Path library;

    private FaultShim(Path library) {
        this.library = library;
    }

    /** Compiles the library in {@code folder}. Returns nothing, and prints why, if that is not possible. */
    static Optional<FaultShim> compile(Path folder) throws InterruptedException {
        Path library = folder.resolve("fault-shim.so");
        try (InputStream source = FaultShim.class.getResourceAsStream(SOURCE)) {
            Path sourceFile = folder.resolve(SOURCE);
            Files.copy(source, sourceFile, StandardCopyOption.REPLACE_EXISTING);
            Process compiler = new ProcessBuilder(
                            "cc", "-shared", "-fPIC", "-O1", "-o", library.toString(), sourceFile.toString(), "-ldl")
                    .inheritIO()
                    .start();
            if (compiler.waitFor() == 0) {
                return Optional.of(new FaultShim(library));
            }
            System.out.println("no clock steps and no failing system calls: the C compiler failed");
        } catch (IOException e) {
            System.out.println("no clock steps and no failing system calls: no C compiler (" + e.getMessage() + ")");
        }
        return Optional.empty();
    }

    /** Creates the control of one process and adds what loads the library to its environment. */
    Control attach(Path controlFile, Map<String, String> environment) throws IOException {
        try (FileChannel channel = FileChannel.open(
                controlFile, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer memory = channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_BYTES);
            environment.put("LD_PRELOAD", library.toString());
            environment.put("FAULT_SHIM_CONTROL", controlFile.toString());
            return new Control(memory);
        }
    }

    /** Controls the library in one process. */
    static final class Control {
        private final MappedByteBuffer memory;

        private Control(MappedByteBuffer memory) {
            this.memory = memory;
            memory.order(ByteOrder.nativeOrder());
        }

        /** Sets by how much the wall clock of the process differs from that of the machine. */
        void setClockStepMillis(long millis) {
            memory.putLong(0, millis);
        }

        /** Sets how many of 1,000 system calls on sockets fail or are cut short. */
        void setFailuresPerThousand(int failures) {
            memory.putInt(FAILURE_OFFSET, failures);
        }
    }
}
