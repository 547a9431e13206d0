package dillfront.common.network;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses as the platform writes them: numbers, never names, since there is no DNS. */
public final class Address {

    private Address() {}

    /** Null where the text is none. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host =
                colon < 1
                        ? null
                        : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = host == null ? -1 : Integer.parseInt(text.substring(colon + 1));
            return port < 1 || port > 65535
                    ? null
                    : new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
