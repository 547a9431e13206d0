package review2;

import java.nio.file.Path;

/** Runs the body of a script and ends with its status: 1 broken, 0 held, 2 could not run. */
final class Script {

    private static final long MAX_MILLIS = 115_000;

    /** The body of a script. */
    interface Body {
        /** Returns the exit status; trouble says whether the disruption takes place. */
        int run(Record record, Fleet fleet, boolean trouble) throws Exception;
    }

    private Script() {}

    /** Runs the body with the folder of the case as the first argument. */
    static void run(String[] args, String service, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Cluster.daemon(
                        () -> {
                            Cluster.sleep(MAX_MILLIS);
                            System.out.println("could not run: it took too long");
                            System.exit(2);
                        })
                .start();
        int status = 2;
        try {
            Record record = new Record(Path.of(args[0], "record.txt"));
            try (Fleet fleet = new Fleet(record, service)) {
                status = body.run(record, fleet, trouble);
            }
        } catch (Exception e) {
            System.out.println("could not run: " + e);
            status = 2;
        }
        System.exit(status);
    }
}
