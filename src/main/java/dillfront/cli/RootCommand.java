package dillfront.cli;

import dillfront.common.network.Address;
import dillfront.router.operator.OperatorConfig;
import dillfront.router.peers.KeyFile;
import dillfront.router.peers.PeerRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.util.HexFormat;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What people call; the ways of running the decisions are in Main. */
@Command(
        name = "dillfront",
        mixinStandardHelpOptions = true,
        version = "dillfront 0.1.0",
        description = "A proxy before a primary and its replicas.",
        footer = {
            "",
            "Run by the platform, without options:",
            "  drill     decide on the simulator's wire, from standard input to standard output",
            "  serve     be one router, as LB_CONFIG, the other LB_ variables and LB_OPERATOR say",
            "  rehearse  run one router against itself for a moment, for the build to keep the classes it loads",
            "  data-plane, control-plane  the two programs of the whole system, as DILLFRONT_SETTINGS says",
            "  rehearse-system  both of them for a moment, for the build"
        },
        subcommands = {
            RootCommand.Check.class,
            RootCommand.Peers.class,
            RootCommand.Status.class,
            RootCommand.Keygen.class,
            KeysCommand.class,
            SiteCommand.class,
            SystemCommand.class
        })
final class RootCommand implements Runnable {

    private static final int REQUEST_TIMEOUT_MS = 3000;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /** Without a subcommand. */
    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "expected a subcommand");
    }

    /** The exit code: 0 where all is well, 1 where it is not, 2 where the command line is wrong. */
    static int run(String... args) {
        return new CommandLine(new RootCommand()).execute(args);
    }

    /**
     * A file that only its owner reads; one that is there is never overwritten. 0, or 1 once the
     * fault is told.
     */
    static int writeSecret(Path file, String text) {
        try {
            Files.createFile(
                    file,
                    PosixFilePermissions.asFileAttribute(
                            PosixFilePermissions.fromString("rw-------")));
            Files.writeString(file, text, StandardOpenOption.WRITE);
            return 0;
        } catch (FileAlreadyExistsException e) {
            return fail(file + ": is there already, and is left as it is");
        } catch (IOException e) {
            return fail(file + ": " + e.getMessage());
        }
    }

    static int fail(String text) {
        System.err.println("dillfront: " + text);
        return 1;
    }

    /** Reads a file as a start would, and starts nothing. */
    @Command(name = "check", description = "Checks the operator's file, and the key that it names.")
    static final class Check implements Callable<Integer> {

        @Parameters(
                paramLabel = "FILE",
                description = "the operator's file, as LB_OPERATOR names it")
        private Path file;

        @Option(
                names = "--name",
                paramLabel = "NAME",
                description = "also check that an instance of this name could start")
        private String name;

        @Override
        public Integer call() {
            try {
                OperatorConfig operator = OperatorConfig.read(file);
                if (operator.gossip() != null && name != null) {
                    operator.gossip().selfIndex(name);
                    operator.gossip().privateKey();
                }
                System.out.println(
                        file
                                + ": gossip "
                                + (operator.gossip() == null
                                        ? "off"
                                        : "among "
                                                + operator.gossip().ring().size()
                                                + " peers, "
                                                + operator.gossip().tuning().bytesPerSecond()
                                                + " bytes a second")
                                + ", control "
                                + (operator.controlAddress() == null
                                        ? "off"
                                        : operator.controlAddress()));
                return 0;
            } catch (OperatorConfig.InvalidOperatorConfigException e) {
                return fail(e.getMessage());
            }
        }
    }

    /** Asks a running instance one question. */
    abstract static class ControlSocketQuery implements Callable<Integer> {

        @Option(
                names = "--control",
                paramLabel = "ADDRESS",
                required = true,
                description = "where it answers, as control() in the operator's file says")
        private String control;

        abstract String query();

        @Override
        public Integer call() {
            InetSocketAddress address = Address.parse(control);
            if (address == null) {
                return fail(
                        "--control "
                                + control
                                + ": expected an address and a port, as 127.0.0.1:9946");
            }
            try (Socket socket = new Socket()) {
                socket.connect(address, REQUEST_TIMEOUT_MS);
                socket.setSoTimeout(REQUEST_TIMEOUT_MS);
                socket.getOutputStream()
                        .write((query() + "\n").getBytes(StandardCharsets.US_ASCII));
                InputStream in = socket.getInputStream();
                new PrintStream(System.out, true, StandardCharsets.UTF_8)
                        .print(new String(in.readAllBytes(), StandardCharsets.UTF_8));
                return 0;
            } catch (IOException e) {
                return fail("--control " + control + ": " + e.getMessage());
            }
        }
    }

    @Command(
            name = "peers",
            description = "What a running instance thinks of its peers, and of nodes by hearsay.")
    static final class Peers extends ControlSocketQuery {

        @Option(names = "--json", description = "as JSON instead of a table")
        private boolean json;

        @Override
        String query() {
            return json ? "peers json" : "peers";
        }
    }

    @Command(
            name = "status",
            description =
                    "How far a running instance has come back, and what it remembers for its next life.")
    static final class Status extends ControlSocketQuery {

        @Option(names = "--json", description = "as JSON instead of a line a section")
        private boolean json;

        @Override
        String query() {
            return json ? "status json" : "status";
        }
    }

    /** Makes a key pair. */
    @Command(
            name = "keygen",
            description =
                    "Makes a key of an instance: the private one into FILE, the public one is printed.")
    static final class Keygen implements Callable<Integer> {

        @Parameters(paramLabel = "FILE", description = "must not be there yet")
        private Path file;

        @Override
        public Integer call() throws GeneralSecurityException {
            KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
            int exitCode = writeSecret(file, KeyFile.text(pair.getPrivate()));
            if (exitCode == 0) {
                System.out.println(HexFormat.of().formatHex(PeerRegistry.rawKey(pair.getPublic())));
            }
            return exitCode;
        }
    }
}
