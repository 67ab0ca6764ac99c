package org.oriolewind.rollout;

/** Takes what a node comes to believe about trials. Implementations never block. */
public interface RolloutListener {
    /**
     * The belief about a trial changed.
     *
     * @param service the service
     * @param version the version on trial
     * @param belief what is believed now
     * @param inputs the evidence it rests on
     */
    void onStateChange(String service, String version, String belief, String inputs);
}
