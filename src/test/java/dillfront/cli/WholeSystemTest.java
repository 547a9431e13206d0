package dillfront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Exit codes that scripts can use: 0 all is well, 1 it is not, 2 the command line is wrong. */
class WholeSystemTest {

    @TempDir
    Path dir;

    @Test
    void aConfigurationIsCheckedBeforeItIsSent() throws IOException {
        Path file = dir.resolve("next.json");
        Files.writeString(file, "{\"revision_number\":3,\"routes\":[],\"services\":[]}");
        assertEquals(0, Commands.run("system", "configuration", file.toString()));
        Files.writeString(file, "{\"revision_number\":3,\"routes\":[");
        assertEquals(1, Commands.run("system", "configuration", file.toString()));
        assertEquals(1, Commands.run("system", "configuration", dir.resolve("none").toString()));
    }

    @Test
    void settingsAndProcessesThatCannotBeUsedOrReached() {
        assertEquals(1, Commands.run("system", "settings", dir.resolve("none").toString()));
        assertEquals(1, Commands.run("system", "status", "nowhere"));
        assertEquals(1, Commands.run("system", "status", "127.0.0.1:1"));
        assertEquals(2, Commands.run("system"));
    }
}
