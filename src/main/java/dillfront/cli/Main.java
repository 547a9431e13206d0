package dillfront.cli;

import dillfront.bootstrap.ControlPlaneProgram;
import dillfront.bootstrap.DataPlaneProgram;
import dillfront.common.config.NodeSettings;
import dillfront.common.logging.Log;
import dillfront.common.logging.Silence;
import dillfront.common.storage.KeyValueStore;
import dillfront.router.RouterServer;
import dillfront.router.WarmUpRun;
import dillfront.router.config.ConfigException;
import dillfront.router.config.RouterConfig;
import dillfront.router.operator.Operator;
import dillfront.routing.simulator.InvalidInputException;
import dillfront.routing.simulator.SimulatorServer;
import java.io.IOException;
import java.util.List;

/** The command line: one subcommand a way of running the decisions. */
public final class Main {

    private Main() {}

    /** Runs the subcommand and ends the process with its exit code. */
    public static void main(String[] args) {
        if (args.length != 1
                || !List.of(
                                "drill",
                                "serve",
                                "rehearse",
                                "data-plane",
                                "control-plane",
                                "rehearse-system")
                        .contains(args[0])) {
            // Not for what the platform starts: the library's classes would cost each start.
            System.exit(Commands.run(args));
        }
        try {
            if (args[0].equals("serve")) {
                Log log = new Log(System.err);
                Silence.over(log);
                RouterServer daemon =
                        new RouterServer(RouterConfig.read(System.getenv()), Operator.of(System.getenv()), log);
                // Before the start: the JVM's own answer to SIGHUP is to end.
                daemon.registerSignals(() -> RouterConfig.readForReload(System.getenv()));
                daemon.start();
                Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
            } else if (args[0].equals("rehearse")) {
                Log log = new Log(System.err);
                Silence.over(log);
                WarmUpRun.run(log);
            } else if (args[0].equals("data-plane")) {
                DataPlaneProgram.run(() -> NodeSettings.fromEnvironment(System.getenv()));
            } else if (args[0].equals("control-plane")) {
                ControlPlaneProgram.run(() -> NodeSettings.fromEnvironment(System.getenv()));
            } else if (args[0].equals("rehearse-system")) {
                dillfront.bootstrap.WarmUp.run();
                System.exit(0);
            } else {
                new SimulatorServer(System.in, System.out).run();
            }
        } catch (ConfigException bad) {
            System.err.println("dillfront: " + bad.getMessage());
            System.exit(1);
        } catch (Operator.BadOperator bad) {
            System.err.println("dillfront: LB_OPERATOR " + bad.getMessage());
            System.exit(1);
        } catch (NodeSettings.InvalidSettingsException | KeyValueStore.StorageException bad) {
            System.err.println("dillfront: " + bad.getMessage());
            System.exit(1);
        } catch (InvalidInputException bad) {
            System.err.println("dillfront: " + bad.getMessage());
            System.exit(1);
        } catch (IOException broken) {
            System.err.println("dillfront: cannot go on: " + broken.getMessage());
            System.exit(1);
        }
    }
}
