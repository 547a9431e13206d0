package dillfront.controlplane.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the choice of the next members. Each row has a name, the tolerated losses, the members, the
 * observed processes and the expected next members.
 */
final class MembershipPolicyTest {

    /**
     * Each observed process is an id and, after a dash, its flags: z and the zone, s and the
     * seconds of silence (s* if another process uses its address), l if the process is leaving, n
     * if it has caught up.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            all members reachable                 | 1 | a b c     | a-n b-n c-n                  | a b c
            short restart is tolerated            | 1 | a b c     | a-n b-n c-s20                | a b c
            learner replaces silent member        | 1 | a b c     | a-n b-n c-s2 d-n             | a b d
            lagging learner does not replace      | 1 | a b c     | a-n b-n c-s2 d               | a b c
            short silence does not replace        | 1 | a b c     | a-n b-n c-s1 d-n             | a b c d
            planned: new member joins first       | 1 | a b c     | a-n b-n c-n d-n              | a b c d
            then the old member announces leave   | 1 | a b c d   | a-n b-n c-nl d-n             | a b d
            or stops without announcement         | 1 | a b c d   | a-n b-n c-s2 d-n             | a b d
            learner replaces leaving member       | 1 | a b c     | a-n b-n c-nl d-n             | a b d
            required leaving member is kept       | 1 | a b c     | a-n b-n c-nl                 | a b c
            leaving learner does not join         | 1 | a b c     | a-n b-n c-n d-nl             | a b c
            lost disk makes a new process         | 1 | a b c/1   | a-n b-n c/1-s* c/2-n         | a b c/2
            two silent members, one at a time     | 2 | a b c d e | a-n b-n c-n d-s2 e-s3 f-n    | a b c d f
            five, one silent, no learner          | 2 | a b c d e | a-n b-n c-n d-n e-s20        | a b c d e
            five, one silent beyond the limit     | 2 | a b c d e | a-n b-n c-n d-n e-s31        | a b c d
            four, one silent beyond the limit     | 2 | a b c d   | a-n b-n c-n d-s31            | a b c
            three members are the minimum         | 2 | a b c     | a-n b-n c-s31                | a b c
            seven is the default maximum          | 3 | a b c d e f g | a-n b-n c-n d-n e-n f-n g-n h-n | a b c d e f g
            four tolerated losses need more       | 4 | a b c d e f g | a-n b-n c-n d-n e-n f-n g-n h-n | a b c d e f g h
            nine suffice for four losses          | 4 | a b c d e f g h i | a-n b-n c-n d-n e-n f-n g-n h-n i-n j-n | a b c d e f g h i
            learner of zone with fewest members   | 1 | a b c     | a-nz1 b-nz2 c-nz2 d-nz2 e-nz1 f-nz3 | a b c f
            """)
    void choosesNextMembers(
            String name, int toleratedLosses, String members, String observed, String expected) {
        List<MembershipPolicy.Candidate> candidates = new ArrayList<>();
        for (String process : observed.trim().split(" +")) {
            int dash = process.indexOf('-');
            String id = dash < 0 ? process : process.substring(0, dash);
            String flags = dash < 0 ? "" : process.substring(dash + 1);
            int silenceFlagIndex = flags.indexOf('s');
            int zoneFlagIndex = flags.indexOf('z');
            candidates.add(
                    new MembershipPolicy.Candidate(
                            id,
                            zoneFlagIndex < 0 ? "" : flags.substring(zoneFlagIndex),
                            silenceFlagIndex < 0
                                    ? 0
                                    : flags.endsWith("*")
                                            ? Long.MAX_VALUE
                                            : 1_000
                                                    * Long.parseLong(
                                                            flags.substring(silenceFlagIndex + 1)),
                            flags.contains("n"),
                            flags.contains("l")));
        }
        assertEquals(
                new TreeSet<>(List.of(expected.trim().split(" +"))),
                MembershipPolicy.nextMembers(
                        new TreeSet<>(List.of(members.trim().split(" +"))),
                        candidates,
                        toleratedLosses));
    }
}
