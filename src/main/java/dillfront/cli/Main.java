package dillfront.cli;

import dillfront.drill.BadInput;
import dillfront.drill.Drill;
import java.io.IOException;

/** The command line: one subcommand a way of running the decisions. */
public final class Main {

    private static final String USAGE = "usage: java -jar dillfront.jar drill\n"
            + "  drill   decide on the simulator's wire, from standard input to standard output";

    private Main() {}

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println(USAGE);
            System.exit(2);
        }
        try {
            new Drill(System.in, System.out).run();
        } catch (BadInput bad) {
            System.err.println("dillfront: " + bad.getMessage());
            System.exit(1);
        } catch (IOException broken) {
            System.err.println("dillfront: cannot go on: " + broken.getMessage());
            System.exit(1);
        }
    }
}
