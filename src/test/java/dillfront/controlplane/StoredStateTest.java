package dillfront.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillfront.common.environment.ManualEnvironment;
import dillfront.common.storage.KeyValueStore;
import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.registry.DatabaseServer;
import dillfront.controlplane.storage.StateStore;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Disks of control processes that revision 6ff1719 wrote in real use (src/test/resources/stored)
 * are read in full.
 */
class StoredStateTest {

    private static final Path STORED = Path.of("src/test/resources/stored");
    private static final String FIRST = "127.0.78.1/8705b1430a7ae331";
    private static final String SECOND = "127.0.78.2/8107c477209dcc4d";
    private static final String THIRD = "127.0.78.3/71225040e018e121";

    @TempDir Path temporaryDirectory;

    private Path copy(String directory) throws IOException {
        Path copy = Files.createDirectories(temporaryDirectory.resolve(directory));
        return Files.copy(
                STORED.resolve(directory).resolve("memory.log"), copy.resolve("memory.log"));
    }

    private static Map<String, String> readTexts(Path log) throws KeyValueStore.StorageException {
        KeyValueStore store = KeyValueStore.open(log.getParent(), "control-plane");
        assertFalse(store.isDamaged());
        return store.entries();
    }

    private static ControlNode start(Map<String, String> texts) throws Exception {
        return SingleNode.start(
                new ManualEnvironment(),
                new StateStore() {
                    @Override
                    public Map<String, String> initialState() {
                        return texts;
                    }

                    @Override
                    public CompletableFuture<Void> put(Map<String, String> next) {
                        return CompletableFuture.completedFuture(null);
                    }
                });
    }

    private static String describeServer(ControlNode node, String id) {
        DatabaseServer server = node.state().registry().get(id);
        return server.service()
                + " "
                + server.zoneName()
                + " "
                + server.state().wireName()
                + " "
                + server.role();
    }

    private void assertRestored(String directory, String id, long lastRequestedNumber)
            throws Exception {
        Map<String, String> texts = readTexts(copy(directory));
        ControlNode node = start(texts);
        assertEquals(id, node.state().cluster().selfId());
        RegisterValue value = node.state().register().acceptedValue();
        assertEquals(3, value.epoch());
        assertEquals(
                RegisterValue.parseIds(String.join(",", FIRST, SECOND, THIRD)), value.members());
        assertFalse(value.isJoint());
        assertEquals(7, value.configuration().revision());
        assertEquals(141, value.configuration().routeCount());
        assertEquals(507, value.configuration().route("h140").timeoutMillis());
        assertEquals("[1, 3, 5, 7]", value.revisionDigests().keySet().toString());
        assertEquals(value.configuration().digest(), value.revisionDigests().get(7L));
        assertEquals(1_048_577, node.state().lease().promisedNumber());
        assertEquals(SECOND, node.state().lease().promisedTo());
        assertEquals("orders-1", node.state().records().get("orders").primary());
        assertEquals("accounts-1", node.state().records().get("accounts").primary());
        assertFalse(node.state().records().get("orders").moving());
        assertEquals("orders 127.0.78.1 ready primary", describeServer(node, "orders-1"));
        assertEquals("orders 127.0.78.2 ready replica", describeServer(node, "orders-2"));
        assertEquals("orders 127.0.78.3 left replica", describeServer(node, "orders-3"));
        assertEquals("accounts 127.0.78.3 ready primary", describeServer(node, "accounts-1"));
        assertEquals("accounts 127.0.78.1 leaving replica", describeServer(node, "accounts-2"));
        assertEquals(lastRequestedNumber, Long.parseLong(texts.getOrDefault("asked", "0")));
    }

    @Test
    void restoresStoredStateOfThreeProcesses() throws Exception {
        assertRestored("control-1", FIRST, 0);
        assertRestored("control-2", SECOND, 1_048_577);
        assertRestored("control-3", THIRD, 0);
    }

    /** The last record was not whole when the power went: all before it is read. */
    @Test
    void tornTailLosesOnlyTheLastRecord() throws Exception {
        Path log = copy("control-3");
        Map<String, String> intact = readTexts(copy("control-1").getParent().resolve("memory.log"));
        byte[] bytes = Files.readAllBytes(log);
        Files.write(log, Arrays.copyOf(bytes, bytes.length - 9));
        Map<String, String> torn = readTexts(log);
        // The last record drops the old set of members; the one before it has both.
        assertEquals("7 " + SECOND, intact.get("accepted-ballot"));
        assertEquals("6 " + SECOND, torn.get("accepted-ballot"));
        assertEquals("2", torn.get("epoch"));
        assertEquals(intact.get("members"), torn.get("members"));
        assertTrue(torn.containsKey("server:orders-1"));
    }
}
