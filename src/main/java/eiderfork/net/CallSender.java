package eiderfork.net;

import eiderfork.config.Settings;
import eiderfork.config.Settings.Endpoint;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.Reply;
import eiderfork.wire.CloudCodec;
import eiderfork.wire.ForwardingCodec;
import eiderfork.wire.HttpStatus;
import eiderfork.wire.MachineHintCodec;
import eiderfork.wire.MalformedMessageException;
import eiderfork.wire.PeerStatusCodec;
import eiderfork.wire.StoreCodec;
import eiderfork.wire.WorkerCodec;
import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the controller's calls to the store, the cloud, workers and peers, and passes the replies
 * to it as inputs.
 */
final class CallSender {
  private static final Logger LOG = LoggerFactory.getLogger(CallSender.class);

  private final Settings settings;
  private final EventLoop loop;
  private final HttpClient client;
  private final InputHandler inputHandler;

  CallSender(Settings settings, EventLoop loop, HttpClient client, InputHandler inputHandler) {
    this.settings = settings;
    this.loop = loop;
    this.client = client;
    this.inputHandler = inputHandler;
  }

  /** Decodes the response to a call. */
  private interface ReplyDecoder {
    Reply decode(int status, byte[] body) throws MalformedMessageException;
  }

  /** Sends the call over HTTP; its reply is passed to the input handler. */
  void send(Effect.Call effect) {
    if (effect instanceof Effect.CallStore call) {
      callStore(call);
    } else if (effect instanceof Effect.ListMachineTypes call) {
      getFromCloud(call, CloudCodec.TYPES_PATH, CloudCodec::decodeTypes);
    } else if (effect instanceof Effect.ListMachines call) {
      getFromCloud(call, CloudCodec.hostsPath(call.after()), CloudCodec::decodeHosts);
    } else if (effect instanceof Effect.RentMachines call) {
      byte[] body = CloudCodec.encodeRent(call.intent());
      postToCloud(call, CloudCodec.HOSTS_PATH, body, CloudCodec::decodeRentReply);
    } else if (effect instanceof Effect.ReturnMachines call) {
      byte[] body = CloudCodec.encodeReturn(call.machines());
      postToCloud(
          call,
          CloudCodec.RETURN_PATH,
          body,
          (status, response) -> CloudCodec.decodeReturnReply(status));
    } else if (effect instanceof Effect.SendCommands call) {
      sendCommands(call);
    } else if (effect instanceof Effect.InspectWorker call) {
      inspectWorker(call);
    } else {
      callPeer(effect);
    }
  }

  private void callStore(Effect.CallStore call) {
    StoreCodec.Request request = StoreCodec.encodeRequest(call.request());
    send(
        call,
        settings.storeEndpoint(),
        request.method(),
        request.path(),
        request.body(),
        (status, body) -> StoreCodec.decodeReply(call.request(), status, body));
  }

  private void getFromCloud(Effect.Call call, String path, ReplyDecoder decoder) {
    send(call, settings.cloudEndpoint(), "GET", path, null, decoder);
  }

  private void postToCloud(Effect.Call call, String path, byte[] body, ReplyDecoder decoder) {
    send(call, settings.cloudEndpoint(), "POST", path, body, decoder);
  }

  private void sendCommands(Effect.SendCommands call) {
    byte[] body =
        WorkerCodec.encodeCommands(call.fencingToken(), call.incarnation(), call.commands());
    Endpoint worker = parseEndpoint(call.address());
    send(call, worker, "POST", WorkerCodec.COMMANDS_PATH, body, CallSender::decodeWorkerReply);
  }

  private void inspectWorker(Effect.InspectWorker call) {
    Endpoint worker = parseEndpoint(call.address());
    send(call, worker, "GET", WorkerCodec.INSPECT_PATH, null, CallSender::decodeWorkerReply);
  }

  /**
   * Decodes a worker's response; one with status 409 rejects the commands but carries a heartbeat.
   */
  private static Reply decodeWorkerReply(int status, byte[] body) throws MalformedMessageException {
    if (status != HttpStatus.OK && status != HttpStatus.CONFLICT) {
      return new Reply.Refused(status);
    }
    return new Reply.WorkerReply(status == HttpStatus.OK, WorkerCodec.decodeHeartbeat(body));
  }

  private void callPeer(Effect.Call effect) {
    if (effect instanceof Effect.PingPeer call) {
      byte[] body = PeerStatusCodec.encodeStatus(call.status());
      postToPeer(
          call,
          call.node(),
          PeerStatusCodec.PING_PATH,
          body,
          response -> new Reply.PeerPong(PeerStatusCodec.decodeStatus(response)));
    } else if (effect instanceof Effect.ForwardRequest call) {
      byte[] body = ForwardingCodec.encodeRequest(call.request());
      postToPeer(
          call, call.node(), ForwardingCodec.REQUEST_PATH, body, ForwardingCodec::decodeAnswer);
    } else if (effect instanceof Effect.ForwardQueries call) {
      byte[] body = ForwardingCodec.encodeQueries(call.uids());
      postToPeer(
          call, call.node(), ForwardingCodec.QUERIES_PATH, body, ForwardingCodec::decodeAnswers);
    } else if (effect instanceof Effect.SendHints call) {
      byte[] body = MachineHintCodec.encodeHints(call.hints());
      postToPeer(
          call,
          call.node(),
          MachineHintCodec.HINTS_PATH,
          body,
          response -> new Reply.HintsAcknowledged());
    } else {
      throw new IllegalArgumentException("unknown call " + effect);
    }
  }

  /** Decodes the body of a peer's response with status 200. */
  private interface PeerReplyDecoder {
    Reply decode(byte[] body) throws MalformedMessageException;
  }

  private void postToPeer(
      Effect.Call call, String node, String path, byte[] body, PeerReplyDecoder decoder) {
    send(
        call,
        settings.peerEndpoints().get(node),
        "POST",
        path,
        body,
        (status, response) ->
            status == HttpStatus.OK ? decoder.decode(response) : new Reply.Refused(status));
  }

  /**
   * Sends a request.
   *
   * @param endpoint null if the address is unknown or malformed; the call then completes as
   *     unanswered
   */
  private void send(
      Effect.Call call,
      Endpoint endpoint,
      String method,
      String path,
      byte[] body,
      ReplyDecoder decoder) {
    if (endpoint == null) {
      // Deferred, because the controller is still handling another input.
      loop.execute(() -> handleReply(call, new Reply.Unanswered()));
      return;
    }
    client.send(
        endpoint,
        method,
        path,
        body,
        call.timeoutMs(),
        (status, response) -> {
          try {
            handleReply(call, decode(status, response, decoder));
          } catch (MalformedMessageException e) {
            logMalformedResponse(method, path, endpoint, status, e);
            handleReply(call, new Reply.Unanswered());
          }
        });
  }

  private static void logMalformedResponse(
      String method, String path, Endpoint endpoint, int status, MalformedMessageException e) {
    LOG.info(
        "malformed-response method={} path={} endpoint={} status={} reason=\"{}\"",
        method,
        path,
        endpoint,
        status,
        e.getMessage());
  }

  private void handleReply(Effect.Call call, Reply reply) {
    inputHandler.handle(new Input.CallCompleted(call.callId(), reply));
  }

  private static Reply decode(int status, byte[] response, ReplyDecoder decoder)
      throws MalformedMessageException {
    return switch (status) {
      case HttpClient.STATUS_NONE -> new Reply.Unanswered();
      case HttpClient.STATUS_OVERSIZED -> new Reply.Oversized();
      default -> decoder.decode(status, response);
    };
  }

  /** Parses a worker's address; returns null if it is malformed. */
  private static Endpoint parseEndpoint(String address) {
    int colon = address.lastIndexOf(':');
    try {
      String host = address.substring(0, colon);
      return new Endpoint(host, Integer.parseInt(address.substring(colon + 1)));
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      return null;
    }
  }
}
