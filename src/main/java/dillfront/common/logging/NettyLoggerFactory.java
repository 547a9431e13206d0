package dillfront.common.logging;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * What Netty has to say, of which warnings alone go on to our log. Netty would look for three
 * logging libraries first, and end with the JDK's: 40 ms of every start.
 */
public final class NettyLoggerFactory extends InternalLoggerFactory {

    private final Log log;

    private NettyLoggerFactory(Log log) {
        this.log = log;
    }

    /** Before the first use of Netty. */
    public static void install(Log log) {
        InternalLoggerFactory.setDefaultFactory(new NettyLoggerFactory(log));
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new WarningLogger(name, log);
    }

    private static final class WarningLogger extends AbstractInternalLogger {

        private static final long serialVersionUID = 1L;
        private final transient Log log;

        WarningLogger(String name, Log log) {
            super(name);
            this.log = log;
        }

        private void forward(String message, Object argument) {
            log.warn("netty", "from", name(), "message", message, "fault", argument);
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
        public void trace(String message, Throwable cause) {}

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
        public void debug(String message, Throwable cause) {}

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
        public void info(String message, Throwable cause) {}

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public void warn(String message) {
            forward(message, "");
        }

        @Override
        public void warn(String format, Object a) {
            forward(format, a);
        }

        @Override
        public void warn(String format, Object a, Object b) {
            forward(format, b);
        }

        @Override
        public void warn(String format, Object... arguments) {
            forward(format, arguments.length > 0 ? arguments[arguments.length - 1] : "");
        }

        @Override
        public void warn(String message, Throwable cause) {
            forward(message, cause);
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }

        @Override
        public void error(String message) {
            forward(message, "");
        }

        @Override
        public void error(String format, Object a) {
            forward(format, a);
        }

        @Override
        public void error(String format, Object a, Object b) {
            forward(format, b);
        }

        @Override
        public void error(String format, Object... arguments) {
            forward(format, arguments.length > 0 ? arguments[arguments.length - 1] : "");
        }

        @Override
        public void error(String message, Throwable cause) {
            forward(message, cause);
        }
    }
}
