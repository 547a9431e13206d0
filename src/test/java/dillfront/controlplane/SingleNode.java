package dillfront.controlplane;

import dillfront.common.config.NodeSettings;
import dillfront.common.environment.Environment;
import dillfront.controlplane.lease.LeaseManager;
import dillfront.controlplane.storage.StateStore;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * One control process by itself, as tests begin with it; others that its settings name are not
 * there.
 */
public final class SingleNode {

    static final String IP = "10.0.0.1";

    /** When it surely holds the lease, where it is the only one. */
    public static final long LEASE_ACQUIRED_MS = 6_000;

    private SingleNode() {}

    /** The lease of this process. */
    public static LeaseManager leaseOf(ControlNode node) {
        return node.state().lease();
    }

    /** Started, with nothing on its disk, and everything kept at once and forgotten. */
    public static ControlNode start(Environment environment, String... otherIps) throws Exception {
        return start(
                environment,
                new StateStore() {
                    @Override
                    public Map<String, String> initialState() {
                        return Map.of();
                    }

                    @Override
                    public CompletableFuture<Void> put(Map<String, String> texts) {
                        return CompletableFuture.completedFuture(null);
                    }
                },
                otherIps);
    }

    /** Started on this disk. */
    public static ControlNode start(Environment environment, StateStore store, String... otherIps)
            throws Exception {
        List<String> seeds =
                Stream.concat(Stream.of(IP), Stream.of(otherIps)).map(ip -> ip + ":8002").toList();
        ControlNode node =
                new ControlNode(
                        environment,
                        new NodeSettings(
                                "core-1",
                                "a",
                                "ra",
                                Map.of("a", "ra"),
                                IP,
                                null,
                                null,
                                IP + ":8002",
                                7400,
                                seeds,
                                true,
                                "/",
                                1,
                                1_200,
                                7_000,
                                6_000,
                                null),
                        store);
        node.start();
        return node;
    }
}
