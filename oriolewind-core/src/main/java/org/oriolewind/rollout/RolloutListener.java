package org.oriolewind.rollout;

/** Receives the state changes of rollouts at this node. Implementations never block. */
public interface RolloutListener {
    /**
     * Called after a rollout has entered another stage or its version was found bad.
     *
     * @param service the service's name
     * @param version the new version
     * @param state the new state, for a person
     * @param inputs the evidence behind the change, for a person
     */
    void onStateChange(String service, String version, String state, String inputs);
}
