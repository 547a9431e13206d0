package dillfront.common.message;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Messages between the system's own processes: maps of short names, in MessagePack. */
public final class MessageCodec {

    private static final int MAX_DEPTH = 8;
    private static final int MAX_ELEMENTS = 1 << 18;

    /** Of all lists and maps of a message together. */
    private static final int MAX_TOTAL_ELEMENTS = 1 << 20;

    /** A message that is none: what was wrong with it. */
    public static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1;

        public MalformedMessageException(String message) {
            super(message);
        }
    }

    private MessageCodec() {}

    /**
     * @throws IllegalArgumentException where a value has no form in a message
     */
    public static byte[] encode(Map<String, ?> message) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            write(out, message);
            return out.toByteArray();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static void write(MessagePacker out, Object value) throws IOException {
        if (value == null) {
            out.packNil();
        } else if (value instanceof String text) {
            out.packString(text);
        } else if (value instanceof Boolean flag) {
            out.packBoolean(flag);
        } else if (value instanceof Number number) {
            out.packLong(number.longValue());
        } else if (value instanceof byte[] bytes) {
            out.packBinaryHeader(bytes.length);
            out.writePayload(bytes);
        } else if (value instanceof List<?> list) {
            out.packArrayHeader(list.size());
            for (Object element : list) {
                write(out, element);
            }
        } else if (value instanceof Map<?, ?> map) {
            out.packMapHeader(map.size());
            for (Map.Entry<?, ?> element : map.entrySet()) {
                write(out, element.getKey());
                write(out, element.getValue());
            }
        } else {
            throw new IllegalArgumentException("no message holds a " + value.getClass());
        }
    }

    /**
     * @throws Bad where the bytes are no map of this form, or hold more than any message does
     */
    public static Fields decode(byte[] bytes) throws MalformedMessageException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            Object value = new Decoder(in, bytes.length).read(0);
            if (!(value instanceof Map<?, ?>) || in.hasNext()) {
                throw new MalformedMessageException("no map, or more than one value");
            }
            @SuppressWarnings("unchecked")
            Map<String, Object> fields = (Map<String, Object>) value;
            return new Fields(fields);
        } catch (IOException | RuntimeException exception) {
            throw new MalformedMessageException("no MessagePack of ours: " + exception);
        }
    }

    /**
     * A message that is being read: what it claims to hold is checked before there is room made for
     * it.
     */
    private static final class Decoder {
        private final MessageUnpacker in;
        private final int length;
        private int elements;

        Decoder(MessageUnpacker in, int length) {
            this.in = in;
            this.length = length;
        }

        private int size(int claimed, int bytesEach) throws MalformedMessageException {
            elements += claimed;
            if (claimed < 0 || claimed > MAX_ELEMENTS || elements > MAX_TOTAL_ELEMENTS) {
                throw new MalformedMessageException("too many parts: " + claimed);
            }
            if ((long) claimed * bytesEach > length - in.getTotalReadBytes()) {
                throw new MalformedMessageException("more parts than bytes: " + claimed);
            }
            return claimed;
        }

        Object read(int depth) throws IOException, MalformedMessageException {
            if (depth > MAX_DEPTH) {
                throw new MalformedMessageException("too deep");
            }
            switch (in.getNextFormat().getValueType()) {
                case NIL:
                    in.unpackNil();
                    return null;
                case BOOLEAN:
                    return in.unpackBoolean();
                case INTEGER:
                    return in.unpackLong();
                case STRING:
                    return in.unpackString();
                case BINARY:
                    {
                        int size = in.unpackBinaryHeader();
                        if (size < 0 || size > length - in.getTotalReadBytes()) {
                            throw new MalformedMessageException(
                                    "more bytes than there are: " + size);
                        }
                        return in.readPayload(size);
                    }
                case ARRAY:
                    {
                        int size = size(in.unpackArrayHeader(), 1);
                        List<Object> list = new ArrayList<>();
                        for (int i = 0; i < size; i++) {
                            list.add(read(depth + 1));
                        }
                        return list;
                    }
                case MAP:
                    {
                        int size = size(in.unpackMapHeader(), 2);
                        Map<String, Object> map = new HashMap<>();
                        for (int i = 0; i < size; i++) {
                            map.put(in.unpackString(), read(depth + 1));
                        }
                        return map;
                    }
                default:
                    throw new MalformedMessageException("a value of no kind that is used");
            }
        }
    }

    /** The fields of a message, each with what stands for one that is not there. */
    public record Fields(Map<String, Object> values) {

        public long number(String name, long defaultValue) {
            return values.get(name) instanceof Long value ? value : defaultValue;
        }

        public String string(String name) {
            return values.get(name) instanceof String value ? value : "";
        }

        public boolean flag(String name) {
            return Boolean.TRUE.equals(values.get(name));
        }

        public byte[] bytes(String name) {
            return values.get(name) instanceof byte[] value ? value : null;
        }

        public boolean has(String name) {
            return values.get(name) != null;
        }

        /** The fields of a map; null where there is none under this name. */
        public Fields map(String name) {
            return values.get(name) instanceof Map<?, ?> map ? new Fields(checked(map)) : null;
        }

        @SuppressWarnings("unchecked")
        private static Map<String, Object> checked(Map<?, ?> map) {
            // The decoder makes no maps with other keys.
            return (Map<String, Object>) map;
        }

        /** The maps in a list; what is no map is passed over. */
        public List<Fields> maps(String name) {
            List<Fields> rows = new ArrayList<>();
            if (values.get(name) instanceof List<?> list) {
                for (Object element : list) {
                    if (element instanceof Map<?, ?> map) {
                        rows.add(new Fields(checked(map)));
                    }
                }
            }
            return rows;
        }

        /** The lists in a list; what is no list is passed over. */
        public List<List<?>> lists(String name) {
            List<List<?>> rows = new ArrayList<>();
            if (values.get(name) instanceof List<?> list) {
                for (Object element : list) {
                    if (element instanceof List<?> row) {
                        rows.add(row);
                    }
                }
            }
            return rows;
        }

        /** The elements of a list as texts; empty where there is no list. */
        public List<String> strings(String name) {
            List<String> rows = new ArrayList<>();
            if (values.get(name) instanceof List<?> list) {
                list.forEach(element -> rows.add(String.valueOf(element)));
            }
            return rows;
        }
    }
}
