package dillfront.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillfront.common.config.NodeSettings;
import dillfront.common.database.AcceptedDataLoss;
import dillfront.common.database.AcknowledgedCommits;
import dillfront.common.database.LogPosition;
import dillfront.common.environment.ManualHost;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What a data plane asks of a log, and tells of one, once a person has given commits up: 1.11 to
 * 1.72 are gone, i-2 leads from 1.10.
 */
class AcceptedLossTest {

    private Service service;
    private Server leads;
    private Server another;

    private static LogPosition at(String text) {
        return LogPosition.parse(text);
    }

    @BeforeEach
    void lost() {
        Front front =
                new Front(
                        new ManualHost(),
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
        service = new Service(front, "db");
        another = new Server(front, service, "i-1", "10.0.0.8:1", "z");
        leads = new Server(front, service, "i-2", "10.0.0.9:1", "z");
        service.acknowledged(another, at("1.69"), at("1.72"));
        service.primary = "i-2";
        service.loss =
                AcceptedDataLoss.accept(
                        7,
                        at("1.10"),
                        new AcknowledgedCommits(at("1.70"), at("1.72")),
                        List.of(),
                        null);
    }

    /** Guards against a session that waits for ever for its own write, which is in no log. */
    @Test
    void aReadDoesNotWaitForWhatIsGone() {
        assertEquals(at("1.10"), service.without(at("1.70")));
        assertEquals(at("1.9"), service.without(at("1.9")));
        assertEquals(at("1.73"), service.without(at("1.73")));
        service.loss = null;
        assertEquals(at("1.70"), service.without(at("1.70")));
    }

    /**
     * Guards against a word that covers the next primary's first commit: 2.11 was asked for when
     * its log ended at 1.10.
     */
    @Test
    void whatTheNextPrimaryAcknowledgesIsPastWhatIsGone() {
        service.acknowledged(leads, at("1.10"), at("2.11"));
        assertEquals(at("1.73"), service.acknowledged.lowerBound());
        assertEquals(
                service.acknowledged,
                service.loss.exclude(service.acknowledged),
                "not given up with the rest");
        service.acknowledged(leads, at("2.11"), at("2.12"));
        assertEquals(at("2.12"), service.acknowledged.lowerBound());
    }

    @Test
    void noOthersAnswerIsTakenForThat() {
        AcknowledgedCommits before = service.acknowledged;
        service.acknowledged(another, at("1.20"), at("1.21"));
        assertEquals(before, service.acknowledged);
        service.loss = service.loss.withLeaderAt(at("1.72"));
        service.acknowledged(leads, at("1.72"), at("1.73"));
        assertEquals(at("1.73"), service.acknowledged.lowerBound(), "the old log goes on");
    }
}
