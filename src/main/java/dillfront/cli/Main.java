package dillfront.cli;

import dillfront.bootstrap.ControlPlaneProgram;
import dillfront.bootstrap.DataPlaneProgram;
import dillfront.common.config.NodeSettings;
import dillfront.common.logging.Log;
import dillfront.common.logging.NettyLoggerFactory;
import dillfront.common.storage.KeyValueStore;
import dillfront.router.RouterServer;
import dillfront.router.WarmUpRun;
import dillfront.router.config.ConfigException;
import dillfront.router.config.RouterConfig;
import dillfront.router.operator.OperatorConfig;
import dillfront.routing.simulator.InvalidInputException;
import dillfront.routing.simulator.SimulatorServer;
import java.io.IOException;
import java.util.List;

/** Entry point: starts one of the programs, or runs a subcommand of {@link RootCommand}. */
public final class Main {

    private Main() {}

    /** Starts the named program, or runs a subcommand and exits with its code. */
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
            // The programs themselves skip picocli, whose class loading would slow each start.
            System.exit(RootCommand.run(args));
        }
        try {
            if (args[0].equals("serve")) {
                Log log = new Log(System.err);
                NettyLoggerFactory.install(log);
                RouterServer daemon =
                        new RouterServer(
                                RouterConfig.read(System.getenv()),
                                OperatorConfig.fromEnvironment(System.getenv()),
                                log);
                // Registered before the start: the default reaction of the JVM to SIGHUP is to
                // exit.
                daemon.registerSignals(() -> RouterConfig.readForReload(System.getenv()));
                daemon.start();
                Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
            } else if (args[0].equals("rehearse")) {
                Log log = new Log(System.err);
                NettyLoggerFactory.install(log);
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
        } catch (ConfigException e) {
            System.err.println("dillfront: " + e.getMessage());
            System.exit(1);
        } catch (OperatorConfig.InvalidOperatorConfigException e) {
            System.err.println("dillfront: LB_OPERATOR " + e.getMessage());
            System.exit(1);
        } catch (NodeSettings.InvalidSettingsException | KeyValueStore.StorageException e) {
            System.err.println("dillfront: " + e.getMessage());
            System.exit(1);
        } catch (InvalidInputException e) {
            System.err.println("dillfront: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("dillfront: I/O error: " + e.getMessage());
            System.exit(1);
        }
    }
}
