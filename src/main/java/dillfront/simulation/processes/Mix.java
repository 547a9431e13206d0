package dillfront.simulation.processes;

import java.util.List;

/** The txn types of a rig, as its settings have them and as its auditor judges them. */
public final class Mix {

    /**
     * @param boundMs how old a bounded read's data may be
     */
    public record Type(String name, String effect, String read, long boundMs) {

        public boolean write() {
            return read.equals("mutate");
        }

        boolean referenced() {
            return effect.equals("dedup");
        }
    }

    public static final long WINDOW_MS = 2000;
    public static final List<Type> TYPES =
            List.of(
                    new Type("view", "retryable", "lag_bound", 200),
                    new Type("own", "retryable", "causal", 0),
                    new Type("any", "retryable", "eventual", 0),
                    new Type("fresh", "retryable", "strong", 0),
                    new Type("move", "dedup", "mutate", 0),
                    new Type("once", "fragile", "mutate", 0));

    private Mix() {}

    public static Type type(String name) {
        return TYPES.stream().filter(t -> t.name.equals(name)).findFirst().orElseThrow();
    }

    /** The settings object of a configuration, for a router that stands in this zone. */
    static String settings(
            String zone, List<String> zones, int routers, long expiryMs, Node.Work work) {
        StringBuilder classes = new StringBuilder();
        StringBuilder reads = new StringBuilder();
        StringBuilder bounds = new StringBuilder();
        for (Type t : TYPES) {
            String comma = classes.length() == 0 ? "" : ",";
            classes.append(comma)
                    .append(
                            String.format(
                                    "{'name':'%s','effect':'%s',%s'targetUs':%d,'deadlineUs':%d,'worth':%s,"
                                            + "'lateShare':%s}",
                                    t.name,
                                    t.effect,
                                    t.referenced()
                                            ? "'dedupScope':'cell','dedupWindowUs':"
                                                    + WINDOW_MS * 1000
                                                    + ","
                                            : "",
                                    expiryMs * 400,
                                    expiryMs * 1000,
                                    t.write() ? "6.0" : "2.0",
                                    t.write() ? "0.3" : "0.0"));
            reads.append(comma).append('\'').append(t.read).append('\'');
            bounds.append(comma).append(t.boundMs * 1000);
        }
        return "{'az':'"
                + zone
                + "','zones':['"
                + String.join("','", zones)
                + "'],'stepUs':5000,'groupSize':"
                + routers
                + ",'registryMode':'push','bounds':{'dialTimeoutUs':250000,'maxAttempts':6,'probes':true,'retryAfter':true,"
                + "'maxRetryAfterUs':2000000,'keepaliveUs':30000000},'charges':{'probe':0.012},'stats':{'how':'inline','fields':"
                + "['x0','x1']},'classes':["
                + classes
                + "],'familyInfo':{'classRead':["
                + reads
                + "],'classBoundUs':["
                + bounds
                + "],'listRole':'static','guards':'off','tokens':'brought'},'rules':{'drainGraceUs':250000,'coldFrom':"
                + work.coldFrom()
                + ",'coldUs':"
                + work.coldMs() * 1000
                + ",'tipMultiple':"
                + work.tipMultiple()
                + ",'tipAfterUs':"
                + work.tipMs() * 1000
                + "},'tenants':[]}";
    }
}
