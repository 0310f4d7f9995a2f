package eiderfork.controller.quota;

/** The name of a team, to which guarantee, limit and usage belong. */
public record TeamId(String name) {
  @Override
  public String toString() {
    return name;
  }
}
