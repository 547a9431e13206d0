package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillfront.common.config.NodeSettings;
import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.environment.ManualEnvironment;
import dillfront.common.protocol.PrimaryRecord;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Read positions and acknowledged commits after an accepted data loss: the commits 1.11 to 1.72 are
 * lost, and i-2 is primary from 1.10 on.
 */
class AcceptedLossReadsTest {

    private DatabaseService service;
    private AcceptedDataLoss loss;
    private ServerPool newPrimary;
    private ServerPool formerPrimary;

    private static LogPosition position(String text) {
        return LogPosition.parse(text);
    }

    @BeforeEach
    void setUp() {
        DataPlaneNode node =
                new DataPlaneNode(
                        new ManualEnvironment(),
                        new NodeSettings(
                                "f",
                                "z",
                                "r",
                                Map.of("z", "r"),
                                "10.0.0.1",
                                "10.0.0.1:80",
                                "10.0.0.1:81",
                                null,
                                7_440,
                                List.of(),
                                true,
                                null,
                                0,
                                1_200,
                                7_000,
                                6_000,
                                null));
        service = new DatabaseService(node, "db");
        formerPrimary = new ServerPool(node, service, "i-1", "10.0.0.8:1", "z");
        newPrimary = new ServerPool(node, service, "i-2", "10.0.0.9:1", "z");
        service.onAcknowledged(formerPrimary, position("1.69"), position("1.72"));
        loss =
                AcceptedDataLoss.accept(
                        7,
                        position("1.10"),
                        new AcknowledgedCommits(position("1.70"), position("1.72")),
                        List.of(),
                        null);
        applyRecord(1, loss);
    }

    private void applyRecord(long number, AcceptedDataLoss accepted) {
        service.onRecord(new PrimaryRecord("db", number, "i-2", false, false, 0, false, accepted));
    }

    /**
     * Guards against a session that waits forever for its own write, which is in no log any more.
     */
    @Test
    void readDoesNotWaitForLostCommits() {
        assertEquals(position("1.10"), service.withoutAcceptedLoss(position("1.70")));
        assertEquals(position("1.9"), service.withoutAcceptedLoss(position("1.9")));
        assertEquals(position("1.73"), service.withoutAcceptedLoss(position("1.73")));
        applyRecord(2, null);
        assertEquals(position("1.70"), service.withoutAcceptedLoss(position("1.70")));
    }

    /**
     * Guards against an acceptance that also covers the first commit of the next primary: 2.11 was
     * requested while its log ended at 1.10.
     */
    @Test
    void commitsOfNextPrimaryFollowTheLoss() {
        service.onAcknowledged(newPrimary, position("1.10"), position("2.11"));
        assertEquals(position("1.73"), service.acknowledged().lowerBound());
        assertEquals(
                service.acknowledged(),
                loss.exclude(service.acknowledged()),
                "not part of the accepted loss");
        service.onAcknowledged(newPrimary, position("2.11"), position("2.12"));
        assertEquals(position("2.12"), service.acknowledged().lowerBound());
    }

    @Test
    void commitsOfOtherServersDoNotFollowTheLoss() {
        AcknowledgedCommits before = service.acknowledged();
        service.onAcknowledged(formerPrimary, position("1.20"), position("1.21"));
        assertEquals(before, service.acknowledged());
        applyRecord(2, loss.withPrimaryLogEnd(position("1.72")));
        service.onAcknowledged(newPrimary, position("1.72"), position("1.73"));
        assertEquals(
                position("1.73"),
                service.acknowledged().lowerBound(),
                "the log of the former primary continues");
    }
}
