package grebehoist.tasks;

import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Json;
import grebehoist.engine.Log;
import grebehoist.fleet.lease.LeaseChange;
import grebehoist.fleet.lease.Leases;
import grebehoist.net.LoopChannels;
import grebehoist.net.LoopTasks;
import grebehoist.net.LoopTimers;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Makes the calls of the tasks that this process holds, one at a time for each, on the loop's thread. Whether it still holds one is
 * asked right before the request is written, by a clock that is read then. A process may be stopped between that look and the
 * write: a receiver that compares tokens refuses what comes too late, another one can't.
 */
public final class TaskCalls {
    private static final long LOOK_MS = 20;
    private static final int MOST_BODY = 4 * 1024;
    /** A proxy that could not do a task leaves it to others for so long. */
    private static final long REST_US = 30_000_000;

    private static final int CONFLICT = 409;

    private final String name;
    private final List<TaskSpec> specs;
    private final Runs[] runs;
    private final boolean[] out;
    private final long[] restsUntil;
    private final Leases leases;
    private final EventLoop loop;
    private final LoopTimers timers;
    private final Log log;
    private final Consumer<ObjectNode> lines;
    private final Bootstrap bootstrap;
    /** Null before {@link #begin}. */
    private Future<?> looks;

    /**
     * Makes them; {@link #begin} starts them.
     *
     * @param name this process's, for receivers
     * @param lines hears what operators are to know, as JSON to be completed with time and name
     */
    public TaskCalls(
            String name,
            List<TaskSpec> specs,
            Leases leases,
            EventLoop loop,
            LoopTimers timers,
            Log log,
            Consumer<ObjectNode> lines) {
        this.name = name;
        this.specs = List.copyOf(specs);
        this.runs = specs.stream().map(s -> new Runs(s.everyUs())).toArray(Runs[]::new);
        this.out = new boolean[specs.size()];
        this.restsUntil = new long[specs.size()];
        this.leases = leases;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.lines = lines;
        this.bootstrap =
                new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true);
    }

    /** Begins to look what is due. */
    public void begin() {
        looks = LoopTasks.every(loop, log, LOOK_MS, TimeUnit.MILLISECONDS, this::look);
    }

    /** Begins no further call; on the loop's thread. One that is out may still be answered. */
    public void end() {
        if (looks != null) {
            looks.cancel(false);
        }
    }

    /** A holding has begun or ended. */
    public void changed(LeaseChange change) {
        if (change instanceof LeaseChange.Held held) {
            runs[held.task()].begin();
        }
    }

    private void look() {
        long now = timers.now();
        for (int task = 0; task < runs.length; task++) {
            if (restsUntil[task] > 0 && now >= restsUntil[task]) {
                restsUntil[task] = 0;
                leases.want(now, task, true);
            }
            if (!out[task] && leases.mayAct(now, task, specs.get(task).leastLeftUs()) > 0 && runs[task].due(now) > 0) {
                call(task);
            }
        }
    }

    private void call(int task) {
        TaskSpec spec = specs.get(task);
        out[task] = true;
        var call = new Call(task);
        ChannelFuture connected = LoopChannels.connect(
                bootstrap.clone().handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_BODY), call);
                    }
                }),
                spec.to());
        call.late = LoopTasks.after(
                loop,
                log,
                spec.actUs(),
                TimeUnit.MICROSECONDS,
                () -> call.over(Runs.Heard.FAILED, 0, "no answer in time"));
        connected.addListener(f -> {
            if (!connected.isSuccess()) {
                call.over(Runs.Heard.FAILED, 0, "no connection to " + spec.to());
            } else {
                call.channel = connected.channel();
                call.send();
            }
        });
    }

    /** One call. */
    private final class Call extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int task;
        private Channel channel;
        private Future<?> late;
        private long run;
        private boolean over;

        Call(int task) {
            this.task = task;
        }

        private void send() {
            if (over) {
                // Given up while it was connecting: the next call may be out already.
                channel.close();
                return;
            }
            TaskSpec spec = specs.get(task);
            run = runs[task].due(timers.now());
            if (run == 0) {
                // Its period ended while this was connecting.
                finish();
                return;
            }
            var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, spec.path());
            request.headers()
                    .set(HttpHeaderNames.HOST, spec.to().getHostString())
                    .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                    .set(HttpHeaderNames.CONNECTION, "close")
                    .set("X-Task", spec.name())
                    .set("X-Run", run)
                    .set("X-Holder", name);
            long token = leases.act(timers.now(), task, spec.leastLeftUs(), spec.actUs());
            if (token == 0) {
                request.release();
                finish();
                return;
            }
            request.headers().set("X-Token", token);
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            long before = number(response, "X-Last-Run");
            long greatest = number(response, "X-Last-Token");
            int status = response.status().code();
            if (status / 100 == 2) {
                over(Runs.Heard.DONE, before, null);
            } else if (status == CONFLICT && greatest > leases.mayAct(timers.now(), task, 0)) {
                leases.raise(greatest);
                over(Runs.Heard.FENCED_OFF, before, "the receiver has seen token " + greatest);
            } else if (status == CONFLICT) {
                over(Runs.Heard.DONE_BEFORE, before, null);
            } else {
                over(Runs.Heard.FAILED, before, "the receiver answered " + status);
            }
        }

        private long number(FullHttpResponse response, String header) {
            String text = response.headers().get(header);
            return text != null && text.matches("[0-9]{1,15}") ? Long.parseLong(text) : 0;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            over(Runs.Heard.FAILED, 0, "the receiver closed its connection");
            super.channelInactive(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            over(Runs.Heard.FAILED, 0, cause.toString());
        }

        private void over(Runs.Heard heard, long before, String why) {
            if (over) {
                return;
            }
            leases.done(task);
            long now = timers.now();
            long missed = runs[task].ended(now, run, heard, before);
            if (missed > 0) {
                lines.accept(line("missed").put("run", run - missed).put("runs", missed));
            }
            if (why != null) {
                lines.accept(line("task_failed").put("run", run).put("why", why));
            }
            if (heard == Runs.Heard.FENCED_OFF) {
                leases.giveBack(now, task);
            } else if (runs[task].unfit()) {
                restsUntil[task] = now + REST_US;
                leases.want(now, task, false);
            }
            finish();
        }

        private void finish() {
            over = true;
            out[task] = false;
            late.cancel(false);
            if (channel != null) {
                channel.close();
            }
        }

        private ObjectNode line(String what) {
            return Json.object().put("what", what).put("task", specs.get(task).name());
        }
    }
}
