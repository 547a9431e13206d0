package dillfront.cli;

import dillfront.config.BadConfig;
import dillfront.config.Config;
import dillfront.daemon.Daemon;
import dillfront.drill.BadInput;
import dillfront.drill.Drill;
import dillfront.log.Log;
import java.io.IOException;
import sun.misc.Signal;

/** The command line: one subcommand a way of running the decisions. */
public final class Main {

    private static final String USAGE = "usage: java -jar dillfront.jar drill|serve\n"
            + "  drill   decide on the simulator's wire, from standard input to standard output\n"
            + "  serve   be one router, as LB_CONFIG and the other LB_ variables say";

    private Main() {}

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill") && !args[0].equals("serve")) {
            System.err.println(USAGE);
            System.exit(2);
        }
        try {
            if (args[0].equals("serve")) {
                Daemon daemon = new Daemon(Config.read(System.getenv()), new Log(System.err));
                daemon.start();
                Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
                Signal.handle(new Signal("USR2"), signal -> daemon.print());
            } else {
                new Drill(System.in, System.out).run();
            }
        } catch (BadConfig bad) {
            System.err.println("dillfront: " + bad.getMessage());
            System.exit(1);
        } catch (BadInput bad) {
            System.err.println("dillfront: " + bad.getMessage());
            System.exit(1);
        } catch (IOException broken) {
            System.err.println("dillfront: cannot go on: " + broken.getMessage());
            System.exit(1);
        }
    }
}
