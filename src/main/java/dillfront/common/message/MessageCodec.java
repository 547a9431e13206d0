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

/** Encodes messages between the system's own processes as MessagePack maps with short keys. */
public final class MessageCodec {

    private static final int MAX_DEPTH = 8;
    private static final int MAX_ELEMENTS = 1 << 18;

    /** Maximum number of elements in all lists and maps of a message together. */
    private static final int MAX_TOTAL_ELEMENTS = 1 << 20;

    /** Reports a malformed message. */
    public static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1;

        public MalformedMessageException(String message) {
            super(message);
        }
    }

    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @throws IllegalArgumentException if a value has a type that messages do not support
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
            throw new IllegalArgumentException(
                    "unsupported type in a message: " + value.getClass());
        }
    }

    /**
     * Decodes a message.
     *
     * @throws MalformedMessageException if the bytes are not a map of supported values, or exceed
     *     the limits on size and nesting
     */
    public static Fields decode(byte[] bytes) throws MalformedMessageException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            Object value = new Decoder(in, bytes.length).read(0);
            if (!(value instanceof Map<?, ?>) || in.hasNext()) {
                throw new MalformedMessageException("expected exactly one map");
            }
            @SuppressWarnings("unchecked")
            Map<String, Object> fields = (Map<String, Object>) value;
            return new Fields(fields);
        } catch (IOException | RuntimeException exception) {
            throw new MalformedMessageException("invalid MessagePack: " + exception);
        }
    }

    /** Decodes one message. A claimed size is checked before memory is allocated for it. */
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
                throw new MalformedMessageException("too many elements: " + claimed);
            }
            if ((long) claimed * bytesEach > length - in.getTotalReadBytes()) {
                throw new MalformedMessageException(
                        "more elements than remaining bytes: " + claimed);
            }
            return claimed;
        }

        Object read(int depth) throws IOException, MalformedMessageException {
            if (depth > MAX_DEPTH) {
                throw new MalformedMessageException("lists and maps are nested too deeply");
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
                                    "binary value longer than the remaining bytes: " + size);
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
                    throw new MalformedMessageException("unsupported value type");
            }
        }
    }

    /** The fields of a decoded message. The accessors return a default for a missing field. */
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

        /** Returns the fields of a nested map; null if there is none with this name. */
        public Fields map(String name) {
            return values.get(name) instanceof Map<?, ?> map ? new Fields(checked(map)) : null;
        }

        @SuppressWarnings("unchecked")
        private static Map<String, Object> checked(Map<?, ?> map) {
            // The decoder creates only maps with string keys.
            return (Map<String, Object>) map;
        }

        /** Returns the maps in a list; other elements are skipped. */
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

        /** Returns the lists in a list; other elements are skipped. */
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

        /** Returns the elements of a list as strings; empty if there is no list. */
        public List<String> strings(String name) {
            List<String> rows = new ArrayList<>();
            if (values.get(name) instanceof List<?> list) {
                list.forEach(element -> rows.add(String.valueOf(element)));
            }
            return rows;
        }
    }
}
