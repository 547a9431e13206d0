package dillfront.exchange;

import io.netty.buffer.ByteBuf;

/** A node's whole answer: three messages as they came, owned by whoever holds this. */
public record Answer(ByteBuf description, ByteBuf row, ByteBuf completion) {

    public void release() {
        description.release();
        row.release();
        completion.release();
    }
}
