package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The operator sends one invalid configuration of 1,048,000 bytes to each control plane in turn, as
 * it does after a failure. Control planes must not end by themselves.
 */
final class LargeOrders {

    private static final int LARGE = 1_048_000;
    private static final int SMALL = 1_000;
    private static final int ROUNDS = 3;

    private final Record record;
    private final Fleet fleet;
    private final int bytes;

    private LargeOrders(Record record, Fleet fleet, int bytes) {
        this.record = record;
        this.fleet = fleet;
        this.bytes = bytes;
    }

    public static void main(String[] args) {
        Script.run(
                args,
                "acervo-atas",
                (record, fleet, trouble) ->
                        new LargeOrders(record, fleet, trouble ? LARGE : SMALL).run());
    }

    private int run() throws IOException {
        fleet.addNodes(3, 1);
        fleet.cluster.addServer("i-1", fleet.ip(101), "hall-a", true);
        fleet.cluster.addServer("i-2", fleet.ip(102), "hall-a", false);
        fleet.cluster.addServer("i-3", fleet.ip(103), "hall-a", false);
        fleet.startAll();
        if (!fleet.configure(fleet.configuration(7), 20_000) || !fleet.awaitReady(20_000)) {
            record.show("the system does not start");
            return 2;
        }
        Cluster.sleep(2_000);
        StringBuilder body =
                new StringBuilder("{\"revision_number\":9,\"services\":[],\"routes\":[{}");
        while (body.length() < bytes - 5) {
            body.append(",{}");
        }
        body.append("]}");
        Map<String, Integer> ends = new HashMap<>();
        List<Integer> answers = new ArrayList<>();
        for (int round = 1; round <= ROUNDS; round++) {
            for (int i = 0; i < fleet.controls.size(); i++) {
                Fleet.Node control = fleet.controls.get(i);
                int status = fleet.order(fleet.cluster.controlAddresses.get(i), body.toString());
                answers.add(status);
                Cluster.sleep(500);
                if (!control.process.isAlive()) {
                    ends.merge(control.name, 1, Integer::sum);
                    record.show(
                            "round " + round + ": " + control.name + " ended by itself, status "
                                    + control.process.exitValue() + ": "
                                    + control.logs().strip().replaceAll("(?s).*\n", ""));
                    control.start();
                }
                // The next one is asked once this one is back.
                Cluster.sleep(3_000);
            }
        }
        record.show("answers to the order, 0 for none: " + answers + "; ends " + ends);
        long half = ends.values().stream().filter(count -> count >= 3).count();
        return half * 2 >= fleet.controls.size() ? 1 : 0;
    }
}
