package dillfront.router.exchange;

import io.netty.buffer.ByteBuf;

/** A node's whole answer: three messages as they came, owned by whoever holds this. */
public record NodeResponse(ByteBuf description, ByteBuf row, ByteBuf completion) {

    /**
     * The three as one slice, where they lie one behind the other in the buffer that they were read
     * into; takes them over then. Null where they do not, and they stay as they are.
     */
    public ByteBuf joinedSlice() {
        ByteBuf root = description.unwrap();
        if (root == null
                || root != row.unwrap()
                || root != completion.unwrap()
                || !root.hasMemoryAddress()) {
            return null;
        }
        long start = description.memoryAddress() + description.readerIndex();
        long next = row.memoryAddress() + row.readerIndex();
        long last = completion.memoryAddress() + completion.readerIndex();
        if (start + description.readableBytes() != next || next + row.readableBytes() != last) {
            return null;
        }
        ByteBuf joined =
                root.retainedSlice(
                        (int) (start - root.memoryAddress()),
                        (int) (last - start) + completion.readableBytes());
        release();
        return joined;
    }

    public void release() {
        description.release();
        row.release();
        completion.release();
    }
}
