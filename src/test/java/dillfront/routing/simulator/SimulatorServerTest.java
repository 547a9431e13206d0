package dillfront.routing.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * The adapter on small batches: what goes out for what comes in, and how it ends on what is no
 * batch.
 */
class SimulatorServerTest {

    private static final String ROUTER_SETUP =
            "{'az':'a','zones':['a','b'],'stepUs':5000,'new':{'x':[1,{}]},"
                    + "'bounds':{'dialTimeoutUs':250000,'maxAttempts':6,'probes':true},"
                    + "'classes':[{'name':'w','effect':'fragile','targetUs':500000,'worth':2,'lateShare':0.5}],"
                    + "'familyInfo':{'classRead':['mutate'],'classBoundUs':[0],'listRole':'static','originTimeUs':1000,"
                    + "'guards':'off','tokens':'kept'},'rules':{'coldFrom':0.2,'coldUs':9000000}}";
    private static final String FIRST_BATCH =
            "{'kind':'Batch','timeUs':1000}\n"
                    + "{'kind':'NewInstance','who':4,'seed':7,'setup':"
                    + ROUTER_SETUP
                    + "}\n"
                    + "{'kind':'Table','buffer':2,'rowsIn':[{'node':'n:1','db':3,'availability':1,'primary':1}]}\n"
                    + "{'kind':'Topology','who':4,'scope':2,'epoch':1,'buffer':2}\n{'kind':'Go'}\n";
    private static final String WRITE_REQUEST =
            "{'kind':'NewRequest','who':4,'corr':99,'qos':'w','expiresInUs':900000,"
                    + "'partitionNo':3,'user':5,'lastWriteMs':0,'flags':4,'more':null}\n";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private String run(String input) throws IOException, InvalidInputException {
        new SimulatorServer(
                        new ByteArrayInputStream(
                                input.replace('\'', '"').getBytes(StandardCharsets.UTF_8)),
                        out)
                .run();
        return out.toString(StandardCharsets.UTF_8).replace('"', '\'');
    }

    @Test
    void submitsWriteAndHandlesItsResult() throws Exception {
        String replies =
                run(
                        FIRST_BATCH
                                + "{'kind':'Batch','timeUs':6000}\n"
                                + WRITE_REQUEST
                                + "{'kind':'Go'}\n"
                                + "{'kind':'Batch','timeUs':60000}\n{'kind':'AttemptEnd','who':4,'corr':99,'node':'n:1',"
                                + "'durationUs':54000,'ending':6,'hop':0}\n{'kind':'AttemptEnd','who':4,'corr':98,'node':'n:1',"
                                + "'durationUs':1,'ending':1,'hop':0,'finished':true,'stand':9}\n"
                                + "{'kind':'Dropped','who':4,'corr':5}\n{'kind':'Destroy','who':4}\n{'kind':'Go'}\n");
        assertEquals(
                "{'kind':'WakeAt','who':4,'sleepForUs':20000,'ctx':0}\n{'kind':'Touch','who':4,'node':'n:1'}\n"
                        + "{'kind':'Yield'}\n"
                        + "{'kind':'HandOff','who':4,'corr':99,'limitUs':880000,'node':'n:1'}\n{'kind':'Yield'}\n"
                        + "{'kind':'EndFailed','who':4,'corr':99}\n{'kind':'Yield'}\n",
                replies);
    }

    @Test
    void reportsLineOfInvalidInputAndWritesNoPartialReply() throws Exception {
        String[][] invalidInputs = {
            {FIRST_BATCH + "{'kind':'Batch','timeUs':2000}\n{'kind' 3}\n", "line 7: malformed"},
            {
                FIRST_BATCH + "{'kind':'Batch','timeUs':2000}\n{'kind':'Ring','who':8,'ctx':0}\n",
                "line 7: Ring: unknown inst"
            },
            {
                FIRST_BATCH
                        + "{'kind':'Batch','timeUs':2000}\n{'kind':'Topology','who':4,'scope':1,'buffer':9}\n",
                "line 7: Topology: list 9 was never defined"
            },
            {
                FIRST_BATCH
                        + "{'kind':'Batch','timeUs':2000}\n"
                        + WRITE_REQUEST.replace("'w'", "'v'"),
                "line 7: NewRequest: unknown qos"
            },
            {
                FIRST_BATCH
                        + "{'kind':'Batch','timeUs':2000}\n{'kind':'Destroy','who':4}\n"
                        + WRITE_REQUEST,
                "line 8: NewRequest: unk"
            },
            {
                FIRST_BATCH + "{'kind':'Batch','timeUs':2000}\n{'kind':'Dropped','who':'x'}\n",
                "line 7: malformed"
            },
            {FIRST_BATCH + "[]\n", "line 6: not an object"},
            {FIRST_BATCH + "{'kind':'Go'}\n", "line 6: Go: outside a batch"},
        };
        for (String[] inputAndError : invalidInputs) {
            out.reset();
            InvalidInputException exception =
                    assertThrows(
                            InvalidInputException.class,
                            () -> run(inputAndError[0]),
                            inputAndError[1]);
            assertTrue(
                    exception.getMessage().startsWith(inputAndError[1]),
                    exception.getMessage() + " for " + inputAndError[1]);
            assertEquals(1, out.toString(StandardCharsets.UTF_8).split("Yield").length - 1);
        }
    }
}
