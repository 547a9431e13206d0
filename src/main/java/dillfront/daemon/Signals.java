package dillfront.daemon;

import dillfront.log.Log;
import java.lang.reflect.Proxy;

/** Words of the platform to the process, each heard on a thread of its own. */
public final class Signals {

    private Signals() {}

    /** By reflection: the type is no promise of the platform, and may go. */
    public static void on(String name, Runnable run, Log log) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object runs = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, args) -> {
                        run.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), runs);
        } catch (ReflectiveOperationException none) {
            log.warn("no-signal", "name", name, "fault", none);
        }
    }
}
