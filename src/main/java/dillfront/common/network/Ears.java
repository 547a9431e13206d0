package dillfront.common.network;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;

/**
 * A handler that hears all and passes nothing on: the only one of its channel. Netty's own adapter
 * marks by annotations what may be skipped, and the first of them that is read costs the start a
 * proxy class.
 */
public abstract class Ears implements ChannelInboundHandler {

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {}

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {}

    @Override
    public void channelRegistered(ChannelHandlerContext ctx) {}

    @Override
    public void channelUnregistered(ChannelHandlerContext ctx) {}

    @Override
    public void channelActive(ChannelHandlerContext ctx) {}

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {}

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {}

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {}

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {}

    /** Netty's word against it is meant for handlers of what goes out. */
    @Override
    @SuppressWarnings("deprecation")
    public abstract void exceptionCaught(ChannelHandlerContext ctx, Throwable cause)
            throws Exception;
}
