package eiderfork.net;

import eiderfork.controller.message.Input;

/** Handles the inputs of a controller; must be called on its event loop. */
interface InputHandler {
  /** Passes the input to the controller and executes the resulting effects. */
  void handle(Input input);
}
