package eiderfork.net;

import eiderfork.controller.message.Input;

/** Takes the inputs of a controller; on its event loop only. */
interface InputHandler {
  /** Gives the input to the controller and carries its effects out. */
  void handle(Input input);
}
