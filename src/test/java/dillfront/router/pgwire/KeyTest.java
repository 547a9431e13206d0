package dillfront.router.pgwire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/**
 * The key that permissions are checked against is the key that a node reads: all bytes between the
 * quotes.
 */
class KeyTest {

    private static final String BEFORE = "SELECT body FROM objects WHERE oid = '";
    private static final String BEHIND = "' /* id=9b1f,c=history,d=480,cluster=2 */";

    @Property(tries = 1000, seed = "51")
    void readsKeyBetweenQuotes(@ForAll @Size(max = 40) byte[] key, @ForAll boolean quoted) {
        if (quoted && key.length > 2) {
            key[key.length / 2] = '\'';
        }
        // As received: behind other messages in the buffer.
        ByteBuf message = Unpooled.buffer().writeZero(7);
        message.readerIndex(7);
        message.writeByte('Q').writeInt(0);
        message.writeBytes(BEFORE.getBytes(StandardCharsets.US_ASCII))
                .writeBytes(key)
                .writeBytes(BEHIND.getBytes(StandardCharsets.US_ASCII))
                .writeByte(0);
        message.setInt(8, message.readableBytes() - 1);
        boolean hasNoQuote = key.length > 0;
        for (byte b : key) {
            hasNoQuote &= b != '\'';
        }
        Statement statement;
        try {
            statement = Statement.read(message);
        } catch (StatementFormatException e) {
            assertEquals(false, hasNoQuote, e.getMessage());
            return;
        }
        // A key that contains a quote would be ambiguous and is refused.
        assertEquals(true, hasNoQuote);
        byte[] readKey = new byte[statement.length()];
        for (int i = 0; i < readKey.length; i++) {
            readKey[i] = statement.byteAt(i);
        }
        assertArrayEquals(key, readKey, Arrays.toString(readKey));
    }
}
