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

/** The root of the operators' commands; {@link Main} starts the programs themselves. */
@Command(
        name = "dillfront",
        mixinStandardHelpOptions = true,
        version = "dillfront 0.1.0",
        description = "A proxy before a primary and its replicas.",
        footer = {
            "",
            "Started by the platform, without options:",
            "  drill     make routing decisions for the simulator, over standard input and output",
            "  serve     run one router, configured by LB_CONFIG, the other LB_ variables and LB_OPERATOR",
            "  rehearse  run one router against itself, for the class-data archive of the build",
            "  data-plane, control-plane  run a program of the complete system, configured by DILLFRONT_SETTINGS",
            "  rehearse-system  run both of them, for the class-data archive of the build"
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

    /** Rejects a command line without a subcommand. */
    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "expected a subcommand");
    }

    /** Returns the exit code: 0 success, 1 failure, 2 invalid command line. */
    static int run(String... args) {
        return new CommandLine(new RootCommand()).execute(args);
    }

    /**
     * Writes a new file that only its owner can read; an existing file is never overwritten.
     *
     * @return the exit code: 0, or 1 after an error message
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
            return fail(file + ": exists already and was not changed");
        } catch (IOException e) {
            return fail(file + ": " + e.getMessage());
        }
    }

    static int fail(String text) {
        System.err.println("dillfront: " + text);
        return 1;
    }

    /** Validates an operator's file as the start of a router would. */
    @Command(
            name = "check",
            description = "Checks the operator's file, and the key file that it names.")
    static final class Check implements Callable<Integer> {

        @Parameters(paramLabel = "FILE", description = "the operator's file, as in LB_OPERATOR")
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

    /** Sends one query to the control socket of a running router and prints the response. */
    abstract static class ControlSocketQuery implements Callable<Integer> {

        @Option(
                names = "--control",
                paramLabel = "ADDRESS",
                required = true,
                description =
                        "control address of the router, as in control() of the operator's file")
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
            description =
                    "Prints the state of a router's peers, and of servers as reported by them.")
    static final class Peers extends ControlSocketQuery {

        @Option(names = "--json", description = "print JSON instead of a table")
        private boolean json;

        @Override
        String query() {
            return json ? "peers json" : "peers";
        }
    }

    @Command(
            name = "status",
            description =
                    "Prints a router's progress of recovery, and the state that it keeps for its next start.")
    static final class Status extends ControlSocketQuery {

        @Option(names = "--json", description = "print JSON instead of one line per section")
        private boolean json;

        @Override
        String query() {
            return json ? "status json" : "status";
        }
    }

    @Command(
            name = "keygen",
            description =
                    "Creates the key pair of a router: writes the private key to FILE, prints the public key.")
    static final class Keygen implements Callable<Integer> {

        @Parameters(paramLabel = "FILE", description = "the key file, which must not exist")
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
