package eiderfork.controller.registry;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The images that a machine holds or fetches, estimated from the tasks that were started on it. */
public final class ImageCache {
  /** Sizes of the images, least recently used first. */
  private final Map<String, Double> sizesGb = new LinkedHashMap<>();

  /** When the fetch of each image should be complete. */
  private final Object2LongOpenHashMap<String> readyMs = new Object2LongOpenHashMap<>();

  /** Whether the machine holds or fetches this image. */
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

  /** Whether it was ever estimated when the fetch of this image is complete. */
  public boolean hasReadyTime(String image) {
    return readyMs.containsKey(image);
  }

  /** How long the fetch of this image still takes; 0 where it is complete or not known. */
  public long remainingFetchMs(String image, long nowMs) {
    return Math.max(0, readyMs.getLong(image) - nowMs);
  }

  /** The fetch of this image is complete at the given time. */
  public void recordReadyTime(String image, long atMs) {
    readyMs.put(image, atMs);
  }

  /** The machine does not hold this image after all. */
  public void remove(String image) {
    sizesGb.remove(image);
  }

  /** A task uses this image; the least recently used images are evicted beyond the cache's size. */
  public void recordUse(String image, double sizeGb, double cacheGb) {
    sizesGb.remove(image);
    sizesGb.put(image, sizeGb);
    double usedGb = sizesGb.values().stream().mapToDouble(Double::doubleValue).sum();
    Iterator<Map.Entry<String, Double>> leastRecent = sizesGb.entrySet().iterator();
    while (usedGb > cacheGb && sizesGb.size() > 1) {
      Map.Entry<String, Double> evicted = leastRecent.next();
      usedGb -= evicted.getValue();
      readyMs.removeLong(evicted.getKey());
      leastRecent.remove();
    }
  }
}
