/**
 * State that daemons exchange by way of the coordinator: each daemon reports what it has measured, and the coordinator
 * announces what follows from all reports. A lost datagram is replaced by the next one of the same kind.
 */
import { z } from "zod";
import type { DatagramChannel } from "../../membership";
import { type Logger, createErrorReport } from "../../observability";
import { type Address, type Clock, type DaemonName, repeat } from "../../types";

/** Interval of reports and announcements; that of the freshness check, so that both know the same coordinator. */
const EXCHANGE_INTERVAL_MS = 400;

/** One kind of exchanged state. */
export interface ExchangedState<Report, Announcement> {
  /** Identifies the state in datagrams. */
  readonly name: string;
  readonly reportSchema: z.ZodType<Report>;
  readonly announcementSchema: z.ZodType<Announcement>;
  /** Creates this daemon's next report; undefined when there is nothing to report. */
  createReport(): Report | undefined;
  /** Records a daemon's report. Called only on the coordinator, also with its own report. */
  receiveReport(daemon: DaemonName, report: Report): void;
  /** Creates the next announcement; undefined when there is nothing to announce. Called only on the coordinator. */
  createAnnouncement(): Announcement | undefined;
  /** Applies an announcement. The coordinator applies its own. */
  receiveAnnouncement(announcement: Announcement): void;
}

/** An {@link ExchangedState} whose messages have been bound to their schemas. */
export interface StateChannel {
  /** Handles the datagrams of the state. */
  listen(options: StateExchangeOptions): void;
  /** Sends or records this daemon's report. */
  report(options: StateExchangeOptions): void;
  /** Announces to all daemons, if this daemon is the coordinator. */
  announce(options: StateExchangeOptions): void;
}

/** Options for {@link createStateExchange}. */
export interface StateExchangeOptions {
  readonly daemon: DaemonName;
  readonly channel: Pick<DatagramChannel, "send" | "receive">;
  readonly isCoordinator: () => boolean;
  /** Returns the coordinator's address; undefined while it is not known. */
  readonly findCoordinator: () => Address | undefined;
  /** Returns the addresses of the daemons that have recently sent their state to this one. */
  readonly getPeers: () => readonly Address[];
  readonly states: readonly StateChannel[];
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Exchanges states until aborted. */
export interface StateExchange {
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Binds the messages of a state to their schemas. Messages that fail them are counted and dropped.
 *
 * @param state - The state.
 * @returns The state as {@link createStateExchange} takes it.
 */
export function bindState<Report, Announcement>(state: ExchangedState<Report, Announcement>): StateChannel {
  const reportKind = `${state.name}.report`;
  const announcementKind = `${state.name}.announcement`;
  const reportMessageSchema = z.object({ daemon: z.string().min(1), report: state.reportSchema });

  return {
    listen: ({ channel, isCoordinator }) => {
      channel.receive(reportKind, reportMessageSchema, ({ daemon, report }) => {
        if (isCoordinator()) {
          state.receiveReport(daemon, report);
        }
      });
      channel.receive(announcementKind, state.announcementSchema, (announcement) => {
        // One that a former coordinator sent may still arrive.
        if (!isCoordinator()) {
          state.receiveAnnouncement(announcement);
        }
      });
    },
    report: ({ daemon, channel, isCoordinator, findCoordinator }) => {
      const report = state.createReport();
      const coordinator = findCoordinator();
      if (report === undefined) {
        return;
      }
      if (isCoordinator()) {
        state.receiveReport(daemon, report);
      } else if (coordinator !== undefined) {
        channel.send(coordinator, reportKind, { daemon, report });
      }
    },
    announce: ({ channel, isCoordinator, getPeers }) => {
      const announcement = isCoordinator() ? state.createAnnouncement() : undefined;
      if (announcement !== undefined) {
        state.receiveAnnouncement(announcement);
        getPeers().forEach((peer) => {
          channel.send(peer, announcementKind, announcement);
        });
      }
    },
  };
}

/**
 * Creates the exchange of one daemon.
 *
 * @param options - Channel, election and states.
 * @returns The exchange; it receives at once, and sends only while `run` is running.
 */
export function createStateExchange(options: StateExchangeOptions): StateExchange {
  const { states, clock, logger } = options;
  states.forEach((state) => {
    state.listen(options);
  });

  return {
    run: (signal) =>
      repeat(
        clock,
        EXCHANGE_INTERVAL_MS,
        signal,
        () => {
          states.forEach((state) => {
            state.report(options);
          });
          states.forEach((state) => {
            state.announce(options);
          });
        },
        createErrorReport(logger, "exchange state"),
      ),
  };
}
