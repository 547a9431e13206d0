package dillfront.common.network;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;

/**
 * Base class for the last handler of a channel, which passes no event on. Netty's own adapter marks
 * its methods with annotations, and reading the first of them generates a proxy class, which slows
 * the start of the process.
 */
public abstract class TerminalHandler implements ChannelInboundHandler {

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

    /** Deprecated by Netty for outbound handlers only. */
    @Override
    @SuppressWarnings("deprecation")
    public abstract void exceptionCaught(ChannelHandlerContext ctx, Throwable cause)
            throws Exception;
}
