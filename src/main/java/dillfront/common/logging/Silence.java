package dillfront.common.logging;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * Forwards Netty's warnings and errors to {@link Log} and drops all else. Without this factory,
 * Netty probes for three logging libraries and falls back to the JDK's, which adds 40 ms to each
 * start.
 */
public final class Silence extends InternalLoggerFactory {

    private final Log log;

    private Silence(Log log) {
        this.log = log;
    }

    /** Installs the factory; must be called before the first use of Netty. */
    public static void over(Log log) {
        InternalLoggerFactory.setDefaultFactory(new Silence(log));
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new Warnings(name, log);
    }

    private static final class Warnings extends AbstractInternalLogger {

        private static final long serialVersionUID = 1L;
        private final transient Log log;

        Warnings(String name, Log log) {
            super(name);
            this.log = log;
        }

        private void say(String message, Object fault) {
            log.warn("netty", "from", name(), "message", message, "fault", fault);
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public void trace(String message) {}

        @Override
        public void trace(String format, Object a) {}

        @Override
        public void trace(String format, Object a, Object b) {}

        @Override
        public void trace(String format, Object... arguments) {}

        @Override
        public void trace(String message, Throwable fault) {}

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public void debug(String message) {}

        @Override
        public void debug(String format, Object a) {}

        @Override
        public void debug(String format, Object a, Object b) {}

        @Override
        public void debug(String format, Object... arguments) {}

        @Override
        public void debug(String message, Throwable fault) {}

        @Override
        public boolean isInfoEnabled() {
            return false;
        }

        @Override
        public void info(String message) {}

        @Override
        public void info(String format, Object a) {}

        @Override
        public void info(String format, Object a, Object b) {}

        @Override
        public void info(String format, Object... arguments) {}

        @Override
        public void info(String message, Throwable fault) {}

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public void warn(String message) {
            say(message, "");
        }

        @Override
        public void warn(String format, Object a) {
            say(format, a);
        }

        @Override
        public void warn(String format, Object a, Object b) {
            say(format, b);
        }

        @Override
        public void warn(String format, Object... arguments) {
            say(format, arguments.length > 0 ? arguments[arguments.length - 1] : "");
        }

        @Override
        public void warn(String message, Throwable fault) {
            say(message, fault);
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }

        @Override
        public void error(String message) {
            say(message, "");
        }

        @Override
        public void error(String format, Object a) {
            say(format, a);
        }

        @Override
        public void error(String format, Object a, Object b) {
            say(format, b);
        }

        @Override
        public void error(String format, Object... arguments) {
            say(format, arguments.length > 0 ? arguments[arguments.length - 1] : "");
        }

        @Override
        public void error(String message, Throwable fault) {
            say(message, fault);
        }
    }
}
