package dillfront.simulation.processes;

import java.util.List;

/** The txn types of a rig, as its settings have them and as its auditor judges them. */
public final class TransactionMix {

    /**
     * @param maxStalenessMs how old a bounded read's data may be
     */
    public record TransactionType(
            String name, String effectClass, String readClass, long maxStalenessMs) {

        public boolean isWrite() {
            return readClass.equals("mutate");
        }

        boolean isDeduplicated() {
            return effectClass.equals("dedup");
        }
    }

    public static final long DEDUP_WINDOW_MS = 2000;
    public static final List<TransactionType> TYPES =
            List.of(
                    new TransactionType("view", "retryable", "lag_bound", 200),
                    new TransactionType("own", "retryable", "causal", 0),
                    new TransactionType("any", "retryable", "eventual", 0),
                    new TransactionType("fresh", "retryable", "strong", 0),
                    new TransactionType("move", "dedup", "mutate", 0),
                    new TransactionType("once", "fragile", "mutate", 0));

    private TransactionMix() {}

    public static TransactionType type(String name) {
        return TYPES.stream().filter(type -> type.name.equals(name)).findFirst().orElseThrow();
    }

    /** The settings object of a configuration, for a router that stands in this zone. */
    static String settingsJson(
            String zone,
            List<String> allZones,
            int routers,
            long deadlineMs,
            SimulatedNode.Capacity capacity) {
        StringBuilder classes = new StringBuilder();
        StringBuilder readClasses = new StringBuilder();
        StringBuilder stalenessBounds = new StringBuilder();
        for (TransactionType type : TYPES) {
            String separator = classes.length() == 0 ? "" : ",";
            classes.append(separator)
                    .append(
                            String.format(
                                    "{'name':'%s','effect':'%s',%s'targetUs':%d,'deadlineUs':%d,'worth':%s,"
                                            + "'lateShare':%s}",
                                    type.name,
                                    type.effectClass,
                                    type.isDeduplicated()
                                            ? "'dedupScope':'cell','dedupWindowUs':"
                                                    + DEDUP_WINDOW_MS * 1000
                                                    + ","
                                            : "",
                                    deadlineMs * 400,
                                    deadlineMs * 1000,
                                    type.isWrite() ? "6.0" : "2.0",
                                    type.isWrite() ? "0.3" : "0.0"));
            readClasses.append(separator).append('\'').append(type.readClass).append('\'');
            stalenessBounds.append(separator).append(type.maxStalenessMs * 1000);
        }
        return "{'az':'"
                + zone
                + "','zones':['"
                + String.join("','", allZones)
                + "'],'stepUs':5000,'groupSize':"
                + routers
                + ",'registryMode':'push','bounds':{'dialTimeoutUs':250000,'maxAttempts':6,'probes':true,'retryAfter':true,"
                + "'maxRetryAfterUs':2000000,'keepaliveUs':30000000},'charges':{'probe':0.012},'stats':{'how':'inline','fields':"
                + "['x0','x1']},'classes':["
                + classes
                + "],'familyInfo':{'classRead':["
                + readClasses
                + "],'classBoundUs':["
                + stalenessBounds
                + "],'listRole':'static','guards':'off','tokens':'brought'},'rules':{'drainGraceUs':250000,'coldFrom':"
                + capacity.initialSpeedFraction()
                + ",'coldUs':"
                + capacity.warmupMs() * 1000
                + ",'tipMultiple':"
                + capacity.overloadFactor()
                + ",'tipAfterUs':"
                + capacity.overloadWindowMs() * 1000
                + "},'tenants':[]}";
    }
}
