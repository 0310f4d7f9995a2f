package eiderfork.controller.registry;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The images that a machine holds or fetches, estimated from the tasks started on it. */
public final class ImageCache {
  /** Sizes of the images, least recently used first. */
  private final Map<String, Double> sizesGb = new LinkedHashMap<>();

  /** The estimated time when the fetch of each image is complete. */
  private final Object2LongOpenHashMap<String> readyMs = new Object2LongOpenHashMap<>();

  /** Returns whether the machine holds or fetches this image. */
  public boolean contains(String image) {
    return sizesGb.containsKey(image);
  }

  /** The images with their sizes in GB, least recently used first. */
  public Map<String, Double> sizesGb() {
    return Collections.unmodifiableMap(sizesGb);
  }

  /** The images, least recently used first. */
  public Set<String> names() {
    return sizesGb().keySet();
  }

  /** Returns whether an estimate exists of when the fetch of this image is complete. */
  public boolean hasReadyTime(String image) {
    return readyMs.containsKey(image);
  }

  /** The estimated remaining time of this image's fetch; 0 if it is complete or not known. */
  public long remainingFetchMs(String image, long nowMs) {
    return Math.max(0, readyMs.getLong(image) - nowMs);
  }

  /** Records the estimated time when the fetch of this image is complete. */
  public void recordReadyTime(String image, long imageReadyMs) {
    readyMs.put(image, imageReadyMs);
  }

  /** Removes an image that the machine turned out not to hold. */
  public void remove(String image) {
    sizesGb.remove(image);
  }

  /**
   * Records that a task uses this image, and evicts the least recently used ones that exceed the
   * cache's size.
   */
  public void recordUse(String image, double sizeGb, double cacheGb) {
    sizesGb.remove(image);
    sizesGb.put(image, sizeGb);
    double usedGb = sizesGb.values().stream().mapToDouble(Double::doubleValue).sum();
    Iterator<Map.Entry<String, Double>> byLeastRecentUse = sizesGb.entrySet().iterator();
    while (usedGb > cacheGb && sizesGb.size() > 1) {
      Map.Entry<String, Double> evicted = byLeastRecentUse.next();
      usedGb -= evicted.getValue();
      readyMs.removeLong(evicted.getKey());
      byLeastRecentUse.remove();
    }
  }
}
