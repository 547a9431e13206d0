package dillfront.bootstrap;

import dillfront.common.environment.NettyEnvironment;
import dillfront.common.logging.Log;
import dillfront.common.storage.KeyValueStore;
import dillfront.controlplane.storage.StateStore;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The state of a control process in a folder; written on a thread of its own, as a write blocks.
 */
final class FileStateStore implements StateStore {

    private final KeyValueStore store;
    private final Map<String, String> initialState;
    private final NettyEnvironment environment;
    private final Log log;
    private final ExecutorService writer =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, "disk");
                        thread.setDaemon(true);
                        return thread;
                    });

    FileStateStore(KeyValueStore store, NettyEnvironment environment, Log log) {
        this.store = store;
        this.environment = environment;
        this.log = log;
        if (store.isDamaged()) {
            // What was promised may be gone with the damaged part: as with an empty disk, others
            // are asked first.
            log.warn("disk", "fault", "damaged; what it held is not relied on");
            initialState = Map.of();
        } else {
            initialState = store.entries();
        }
    }

    @Override
    public Map<String, String> initialState() {
        return initialState;
    }

    @Override
    public CompletableFuture<Void> put(Map<String, String> texts) {
        CompletableFuture<Void> written = new CompletableFuture<>();
        writer.execute(() -> write(texts, written));
        return written;
    }

    private void write(Map<String, String> texts, CompletableFuture<Void> written) {
        try {
            store.put(texts);
            environment.eventLoop().execute(() -> written.complete(null));
        } catch (KeyValueStore.StorageException | IllegalArgumentException e) {
            environment
                    .eventLoop()
                    .execute(
                            () -> {
                                log.warn("disk", "fault", e.getMessage());
                                written.completeExceptionally(e);
                            });
        }
    }
}
