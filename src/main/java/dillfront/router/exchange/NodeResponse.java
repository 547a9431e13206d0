package dillfront.router.exchange;

import io.netty.buffer.ByteBuf;

/**
 * A node's complete response: its three messages as received, owned by the holder of this object.
 */
public record NodeResponse(ByteBuf description, ByteBuf row, ByteBuf completion) {

    /**
     * Returns the three messages as one slice and releases them, if they are adjacent in one
     * buffer; otherwise returns null and leaves them unchanged.
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
