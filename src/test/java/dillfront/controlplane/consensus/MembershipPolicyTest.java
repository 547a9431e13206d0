package dillfront.controlplane.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Who is to be a member, in one line each: those that are, what is seen of whom, and who is to be
 * one next.
 */
final class MembershipPolicyTest {

    /**
     * Seen: id, then z and its zone, s and for how many seconds it has been silent (s* where
     * another has its address), l where it leaves, n where it is near.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            calm                                  | 1 | a b c     | a-n b-n c-n                  | a b c
            a restart is waited for               | 1 | a b c     | a-n b-n c-s20                | a b c
            a learner takes a silent one's place  | 1 | a b c     | a-n b-n c-s2 d-n             | a b d
            a learner that lags does not          | 1 | a b c     | a-n b-n c-s2 d               | a b c
            a short silence is none               | 1 | a b c     | a-n b-n c-s1 d-n             | a b c d
            planned: the new one comes first      | 1 | a b c     | a-n b-n c-n d-n              | a b c d
            then the old one says that it leaves  | 1 | a b c d   | a-n b-n c-nl d-n             | a b d
            or ends without a word                | 1 | a b c d   | a-n b-n c-s2 d-n             | a b d
            one leaves and another is there       | 1 | a b c     | a-n b-n c-nl d-n             | a b d
            nobody is let go that is needed       | 1 | a b c     | a-n b-n c-nl                 | a b c
            nobody that leaves is taken in        | 1 | a b c     | a-n b-n c-n d-nl             | a b c
            an emptied disk is another process    | 1 | a b c/1   | a-n b-n c/1-s* c/2-n         | a b c/2
            of two that are gone, one at a time   | 2 | a b c d e | a-n b-n c-n d-s2 e-s3 f-n    | a b c d f
            five, one silent, none to take over   | 2 | a b c d e | a-n b-n c-n d-n e-s20        | a b c d e
            five, one gone for good               | 2 | a b c d e | a-n b-n c-n d-n e-s31        | a b c d
            and another                           | 2 | a b c d   | a-n b-n c-n d-s31            | a b c
            but not a third                       | 2 | a b c     | a-n b-n c-s31                | a b c
            seven are enough                      | 3 | a b c d e f g | a-n b-n c-n d-n e-n f-n g-n h-n | a b c d e f g
            not where four may be lost at once    | 4 | a b c d e f g | a-n b-n c-n d-n e-n f-n g-n h-n | a b c d e f g h
            but nine are then                     | 4 | a b c d e f g h i | a-n b-n c-n d-n e-n f-n g-n h-n i-n j-n | a b c d e f g h i
            from the zone that has fewest         | 1 | a b c     | a-nz1 b-nz2 c-nz2 d-nz2 e-nz1 f-nz3 | a b c f
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
