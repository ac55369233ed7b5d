/** Asks the questions at a terminal and validates each answer as it is entered. */
import { confirm, input, number, select } from "@inquirer/prompts";
import { z } from "zod";
import { type Answers, answersSchema } from "./answers";

const ipAddresses = z.array(z.union([z.ipv4(), z.ipv6()])).min(1);

/**
 * Asks all questions.
 *
 * @returns The answers.
 */
export async function askAnswers(): Promise<Answers> {
  const cluster = await input({ message: "Name of the cluster", default: "hemlockbank", required: true });
  const platform = await input({ message: "URL of the platform", validate: validateUrl });
  const dataCentres = await askRepeatedly("Another data centre?", askDataCentre);
  const services = await askRepeatedly("Another service?", askService);
  const servers = await askRepeatedly("More backend servers?", () =>
    askServers(
      services.map((service) => service.name),
      dataCentres.map((dataCentre) => dataCentre.name),
    ),
  );
  return answersSchema.parse({ cluster, platform, data_centres: dataCentres, services, servers });
}

async function askDataCentre() {
  return {
    name: await input({ message: "Name of the data centre", validate: validateName }),
    region: await input({ message: "Its region", default: "default", validate: validateName }),
    entry_vms: splitList(
      await input({
        message: "IP addresses of its entry VMs, separated by commas",
        validate: validateIpAddresses,
      }),
    ),
  };
}

async function askService() {
  const name = await input({ message: "Name of the service", validate: validateName });
  const dividedByKey = await confirm({ message: "Does each key have exactly one owner?", default: true });
  const keyFrom = dividedByKey ? await askKeyLocation() : "path";
  const keyName =
    keyFrom === "path"
      ? "x-key"
      : await input({ message: "Name of the header or query parameter", default: "x-key" });
  const timeout = await input({
    message: "Default timeout of a request",
    default: "10s",
    validate: validateDuration,
  });
  return {
    name,
    divided_by_key: dividedByKey,
    key_from: keyFrom,
    key_name: keyName,
    request_timeout: timeout,
  };
}

function askKeyLocation() {
  return select({
    message: "Which part of a request holds the key?",
    choices: [
      { value: "path", name: "first part of the path" },
      { value: "header", name: "a header" },
      { value: "query", name: "a query parameter" },
    ] as const,
  });
}

async function askServers(services: readonly string[], dataCentres: readonly string[]) {
  return {
    service: await select({ message: "Backend servers of which service?", choices: [...services] }),
    data_centre: await select({ message: "In which data centre?", choices: [...dataCentres] }),
    hosts: splitList(
      await input({ message: "Their IP addresses, separated by commas", validate: validateIpAddresses }),
    ),
    port: await number({ message: "Their port", default: 8080, min: 1, max: 65_535, required: true }),
    slots: await number({
      message: "Requests that each runs concurrently",
      default: 4,
      min: 1,
      required: true,
    }),
    fenced: await confirm({
      message: "Do they check grants and reject former leaseholders (fenced)?",
      default: false,
    }),
  };
}

async function askRepeatedly<Item>(moreQuestion: string, askItem: () => Promise<Item>): Promise<Item[]> {
  const items = [await askItem()];
  while (await confirm({ message: moreQuestion, default: false })) {
    items.push(await askItem());
  }
  return items;
}

function splitList(text: string): string[] {
  return text
    .split(",")
    .map((part) => part.trim())
    .filter((part) => part !== "");
}

function validateIpAddresses(text: string): boolean | string {
  return (
    ipAddresses.safeParse(splitList(text)).success ||
    "must be IP addresses separated by commas, such as 10.0.0.1, 10.0.0.2"
  );
}

function validateName(text: string): boolean | string {
  return /^[a-z0-9][a-z0-9-]{0,62}$/.test(text) || "must be 1 to 63 lower-case letters, digits or hyphens";
}

function validateUrl(text: string): boolean | string {
  return z.url().safeParse(text).success || "must be a URL such as http://10.0.0.5:8000";
}

function validateDuration(text: string): boolean | string {
  return /^\d+(ms|s)$/.test(text) || "must be a whole number with the unit ms or s, such as 10s";
}
