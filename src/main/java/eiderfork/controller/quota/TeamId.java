package eiderfork.controller.quota;

/** The name of a team, which identifies its guarantee, limit and usage. */
public record TeamId(String name) {
  @Override
  public String toString() {
    return name;
  }
}
